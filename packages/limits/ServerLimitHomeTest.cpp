#include "limits/ServerLimitHome.h"

#include "base/Random.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace chervil;
using namespace chervil::limits;
using namespace std::chrono_literals;

namespace {

constexpr FleetView Whole{7, 7};

Now at(Duration time) { return {TimePoint(1000s) + time, WallTime{}}; }

message::SendClaim claim(std::uint64_t seq = 1) { return {"s", 1, seq, 0, 0ms, false}; }

/// Largest number of times within any 4 s.
std::size_t mostInWindow(const std::vector<TimePoint> &times) {
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t i = 0; i < times.size(); ++i) {
    while (times[i] - times[first] >= 4s)
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

/// Requests that a limit of `perSecond` allows within 4 s.
double allowed(double perSecond) { return 1.5 * 4 * perSecond + 5; }

/// Nodes that each want to send `demand` requests per second to one server, and its limit home.
struct Model {
  std::size_t Nodes = 7;
  double PerSecond = 1.2;
  double Demand = 4;
  /// The home dies this often; its successor knows nothing of its grants.
  Duration HomeLifetime = 1h;
  Random Rng{7};
  std::vector<TimePoint> Sent;
  std::size_t Claims = 0;

  void run(Duration time) {
    constexpr Duration step = 5ms;
    ServerLimitHome home;
    Duration nextHome = HomeLifetime;
    std::vector<TimePoint> deniedUntil(Nodes);
    std::poisson_distribution<int> arrivals(Demand * 0.005);
    for (Duration t{}; t < time; t += step) {
      if (t >= nextHome) {
        home = {};
        nextHome += HomeLifetime;
      }
      const Now now = at(t);
      for (TimePoint &denied : deniedUntil) {
        if (arrivals(Rng) == 0 || now.Steady < denied)
          continue;
        ++Claims;
        const auto grant = grantSend(home, claim(), GrantRole::Home, PerSecond, Whole, now);
        if (grant.Granted)
          Sent.push_back(now.Steady);
        else
          denied = now.Steady + grant.RetryAfter;
      }
    }
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLimit)

// Guards against a server that gets more requests than the limit that it has stated.
BOOST_AUTO_TEST_CASE(ServerGetsNoMoreThanItsLimit) {
  BOOST_TEST(rc::check([] {
    Model m;
    m.Nodes = *rc::gen::element<std::size_t>(1, 7, 61, 295);
    m.PerSecond = *rc::gen::inRange(1, 200) / 10.0;
    m.Demand = *rc::gen::element(0.1, 1.0, 5.0);
    m.HomeLifetime = std::chrono::milliseconds(*rc::gen::element(700, 5'000, 60'000));
    m.Rng.seed(*rc::gen::arbitrary<std::uint32_t>());
    m.run(20s);
    RC_ASSERT(double(mostInWindow(m.Sent)) <= allowed(m.PerSecond));
  }));
}

// Guards against a limit that is kept by sending much less than the server takes.
BOOST_AUTO_TEST_CASE(WhatTheServerTakesIsUsed) {
  BOOST_TEST(rc::check([] {
    Model m;
    m.Nodes = *rc::gen::element<std::size_t>(7, 61, 295);
    m.PerSecond = *rc::gen::inRange(10, 200) / 10.0;
    m.Rng.seed(*rc::gen::arbitrary<std::uint32_t>());
    m.Demand = 3 * m.PerSecond / double(m.Nodes);
    m.run(60s);
    // A request accrues before the first one can be sent.
    RC_ASSERT(double(m.Sent.size()) >= 0.8 * 60 * m.PerSecond - 1);
  }));
}

// Guards against nodes that claim again and again what a limit far below one request a second per
// node cannot grant.
BOOST_AUTO_TEST_CASE(DeniedNodesClaimSeldom) {
  Model m;
  m.Nodes = 295;
  m.PerSecond = 1.2;
  m.Demand = 100;
  m.run(30s);
  BOOST_TEST(double(m.Claims) / 30 / double(m.Nodes) < 1.0);
}

// Guards against nodes without a majority that together send as much as the limit once more.
BOOST_AUTO_TEST_CASE(CutOffNodesSendLittle) {
  ServerLimitHome home;
  unsigned granted = 0;
  for (Duration t{}; t < 20s; t += 10ms)
    granted += grantSend(home, claim(), GrantRole::Isolated, 5, {1, 7}, at(t)).Granted ? 1 : 0;
  BOOST_TEST(granted <= 0.2 * 5 * 20);
}

// Guards against a limit of zero that never ends, because no answer can show that it has ended.
BOOST_AUTO_TEST_CASE(LimitOfZeroLeavesAProbe) {
  ServerLimitHome home;
  unsigned granted = 0;
  for (Duration t{}; t < 40s; t += 100ms)
    granted += grantSend(home, claim(), GrantRole::Home, 0, Whole, at(t)).Granted ? 1 : 0;
  BOOST_TEST(granted >= 3U);
  BOOST_TEST(granted <= 5U);
}

// Guards against buckets of servers that are gone and remain.
BOOST_AUTO_TEST_CASE(UnusedBucketsAreRemoved) {
  ServerLimitHome home;
  grantSend(home, claim(), GrantRole::Home, 5, Whole, at(0s));
  prune(home, at(10s));
  BOOST_TEST(home.Buckets.size() == 1U);
  prune(home, at(40s));
  BOOST_TEST(home.Buckets.empty());
}

BOOST_AUTO_TEST_SUITE_END()
