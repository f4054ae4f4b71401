#include "fleet/ZoneOrders.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace chervil;
using namespace chervil::fleet;
using namespace std::chrono_literals;

namespace {

/// Model of a platform that boots servers, reclaims the servers of a data centre, and then refuses
/// orders there for 14 s.
struct Platform {
  ZoneTerms Terms{.Min = 1,
                  .Max = 6,
                  .ReclaimablePrice = 0.15,
                  .BootTime = 4000ms,
                  .Prices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}}};
  ZoneOrders Orders;
  Now Time{TimePoint(1000s), WallTime(0s)};
  std::map<std::pair<std::string, bool>, std::multiset<TimePoint>> Servers;
  std::map<std::string, TimePoint> RefusesUntil;
  double Cost = 0;
  unsigned Calls = 0;

  Platform() {
    for (const auto &[zone, price] : Terms.Prices)
      for (int i = 0; i < 3; ++i)
        Servers[{zone, false}].insert(Time.Steady);
  }

  std::map<std::string, ZoneCount> counts() {
    std::map<std::string, ZoneCount> out;
    for (const auto &[kind, servers] : Servers)
      for (const TimePoint ready : servers)
        if (ready <= Time.Steady)
          ++(kind.second ? out[kind.first].Reclaimable : out[kind.first].OnDemand);
    return out;
  }

  unsigned serving() {
    unsigned n = 0;
    for (const auto &[zone, it] : counts())
      n += it.Reclaimable + it.OnDemand;
    return n;
  }

  /// The servers of the data centre go, and no data centre has others for a while.
  void reclaimFromAll(const std::string &zone) {
    reclaim(zone);
    for (const auto &[other, price] : Terms.Prices)
      RefusesUntil[other] = RefusesUntil[zone];
  }

  void reclaim(const std::string &zone) {
    Servers[{zone, true}].clear();
    RefusesUntil[zone] = Time.Steady + 14s;
  }

  void step() {
    Time.Steady += 500ms;
    for (const auto &[kind, servers] : Servers)
      Cost += 0.5 * static_cast<double>(servers.size()) * Terms.Prices.at(kind.first) *
              (kind.second ? Terms.ReclaimablePrice : 1);
    for (const ZoneOrder &it : planOrders(Orders, Terms, counts(), Time)) {
      ++Calls;
      auto &servers = Servers[{it.DataCentre, it.Reclaimable}];
      if (it.Reclaimable && it.Count > servers.size() &&
          RefusesUntil[it.DataCentre] > Time.Steady) {
        onOrderResult(Orders, it, OrderResult::Refused, Time);
        continue;
      }
      while (servers.size() > it.Count)
        servers.erase(std::prev(servers.end()));
      while (servers.size() < it.Count)
        servers.insert(Time.Steady + Terms.BootTime);
      onOrderResult(Orders, it, OrderResult::Accepted, Time);
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetZoneOrders)

// Guards against a fleet that costs more than needed, or that is too small while data centres are
// reclaimed one after another: four reclaims, two of them one second apart.
BOOST_AUTO_TEST_CASE(ReclaimsLeaveEnoughServers) {
  Platform p;
  unsigned minServing = 100;
  for (int i = 0; i < 120; ++i) {
    if (i == 24)
      p.reclaim("d");
    if (i == 38 || i == 40)
      p.reclaim(i == 38 ? "a" : "b");
    if (i == 52)
      p.reclaim("c");
    p.step();
    minServing = std::min(minServing, p.serving());
  }
  BOOST_TEST(minServing >= neededServers(p.Terms) / 2);
  const double baseline = 60 * 3 * (1.0 + 0.8 + 1.25 + 0.9);
  BOOST_TEST(p.Cost < 0.5 * baseline);
  BOOST_TEST(p.Calls < 80U);
}

// Guards against releasing servers before their replacements serve.
BOOST_AUTO_TEST_CASE(OnDemandServersStayUntilReplaced) {
  Platform p;
  for (int i = 0; i < 7; ++i) {
    p.step();
    BOOST_TEST(p.serving() >= 8U);
  }
  for (int i = 0; i < 20; ++i)
    p.step();
  for (const auto &[zone, it] : p.counts()) {
    BOOST_TEST(it.OnDemand == 0U);
    BOOST_TEST(it.Reclaimable == reclaimableTarget(p.Terms, p.Orders.Needed));
  }
}

// Guards against a fleet of the same size for all loads, which is too small on a heavy day or too
// expensive on a quiet one. Simulates the same four reclaims with a light and a heavy load.
BOOST_AUTO_TEST_CASE(NeededServersFollowTheLoad) {
  const auto simulate = [](double busy) {
    Platform p;
    p.Terms.BusyServers = busy;
    unsigned minServing = 100;
    for (int i = 0; i < 120; ++i) {
      for (const auto &[when, zone] : {std::pair(24, "d"), {38, "a"}, {40, "b"}, {52, "c"}})
        if (i == when)
          p.reclaim(zone);
      p.step();
      minServing = std::min(minServing, p.serving());
    }
    return std::pair(p.Cost, minServing);
  };
  const auto [lightCost, lightMinimum] = simulate(1.5);
  const auto [heavyCost, heavyMinimum] = simulate(4.8);
  BOOST_TEST(lightCost < 0.8 * heavyCost);
  BOOST_TEST(lightMinimum >= 3U);
  BOOST_TEST(heavyMinimum >= 5U);
}

// Guards against a fleet that is too small because servers were released in a lull during a wave of
// reclaims, when no others can be had: the load of a wave of traffic, whose peak follows.
BOOST_AUTO_TEST_CASE(ALullDuringReclaimsReleasesNothing) {
  for (const bool holderChanges : {false, true}) {
    Platform p;
    p.Terms.BusyServers = 4.8;
    const unsigned neededAtPeak = neededServers(p.Terms);
    unsigned minServing = 100;
    for (int i = 0; i < 80; ++i) {
      p.Terms.BusyServers = i >= 38 && i < 64 ? 2.4 : 4.8;
      if (i == 40)
        p.reclaimFromAll("d");
      if (i == 44 && holderChanges)
        p.Orders = {};
      if (i == 52)
        p.reclaimFromAll("a");
      p.step();
      if (i >= 64)
        minServing = std::min(minServing, p.serving());
    }
    BOOST_TEST(minServing >= neededAtPeak, "holder changes: " << holderChanges);
  }
}

// Guards against reclaimable servers that are ordered up to the bound although the load needs few,
// and against too few of them to survive a wave that reclaims two data centres.
BOOST_AUTO_TEST_CASE(ReclaimableServersFollowTheNeed) {
  ZoneTerms terms = Platform().Terms;
  const auto zones = static_cast<unsigned>(terms.Prices.size());
  for (unsigned needed = 0; needed <= terms.Max * zones; ++needed) {
    const unsigned n = reclaimableTarget(terms, needed);
    const bool isBounded = n == reclaimableTarget(terms, terms.Max * zones);
    BOOST_TEST((isBounded || n * (zones - 2) >= needed));
    BOOST_TEST((n <= terms.Min || (n - 1) * (zones - 2) < needed + zones - 2));
  }
}

// Guards against paying for idle servers on a quiet day: the load keeps one server busy, and two
// data centres are reclaimed one after the other.
BOOST_AUTO_TEST_CASE(QuietDayCostsLess) {
  Platform p;
  p.Terms.BusyServers = 1;
  unsigned minServing = 100;
  for (int i = 0; i < 120; ++i) {
    if (i == 40 || i == 52)
      p.reclaim(i == 40 ? "a" : "c");
    p.step();
    minServing = std::min(minServing, p.serving());
  }
  BOOST_TEST(minServing >= neededServers(p.Terms));
  // Servers at the bound of 75% in all data centres for as long, and the servers that are there at
  // the start until these have booted.
  const double prices = 1.0 + 0.8 + 1.25 + 0.9;
  const double atBound = 60 * 5 * 0.15 * prices + 4.5 * 3 * prices;
  BOOST_TEST(p.Cost < 0.8 * atBound);
}

// Guards against releasing servers during each short drop in load.
BOOST_AUTO_TEST_CASE(NeededServersAreKeptDuringShortDrop) {
  Platform p;
  p.Terms.BusyServers = 4;
  p.step();
  BOOST_TEST(p.Orders.Needed == 8U);
  p.Terms.BusyServers = 1;
  for (int i = 0; i < 18; ++i)
    p.step();
  BOOST_TEST(p.Orders.Needed == 8U);
  for (int i = 0; i < 6; ++i)
    p.step();
  BOOST_TEST(p.Orders.Needed == 4U);
  p.Terms.BusyServers = 3;
  p.step();
  BOOST_TEST(p.Orders.Needed == 6U);
}

// Guards against orders beyond the bounds, and against orders if there is no cheaper kind.
BOOST_AUTO_TEST_CASE(OrdersStayWithinTheBounds) {
  Platform p;
  for (const ZoneOrder &it : planOrders(p.Orders, p.Terms, {}, p.Time))
    BOOST_TEST(it.Count <= p.Terms.Max);
  ZoneOrders none;
  p.Terms.ReclaimablePrice = 0;
  BOOST_TEST(planOrders(none, p.Terms, {}, p.Time).empty());
}

BOOST_AUTO_TEST_SUITE_END()
