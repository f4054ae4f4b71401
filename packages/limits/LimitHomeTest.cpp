#include "limits/LimitHome.h"

#include <algorithm>

#include "limits/TestFleet.h"

#include <boost/test/unit_test.hpp>
#include <numeric>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::limits;
using namespace chervil::limits::test;
using namespace std::chrono_literals;

namespace {

constexpr const char *Customer = "norte-brigadas";

double sum(const std::vector<double> &values, std::size_t from, std::size_t to) {
  return std::accumulate(values.begin() + static_cast<std::ptrdiff_t>(from),
                         values.begin() + static_cast<std::ptrdiff_t>(to), 0.0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LimitHomes)

// Guards against the nodes together admitting more than the limit plus one burst, while demand
// changes, the home changes with its predecessor still granting, and a region is partitioned.
BOOST_AUTO_TEST_CASE(TotalStaysWithinLimitAndBurst) {
  double worstRequests = 0;
  double worstTokens = 0;
  double worstStreams = 0;
  BOOST_TEST(rc::check("total admitted", [&] {
    const auto n = *rc::gen::inRange<std::size_t>(3, 10);
    const ContractLimits limits{*rc::gen::element(20.0, 100.0, 400.0), 20000, 400};
    TestFleet fleet(n, *rc::gen::arbitrary<std::uint64_t>(), {{Customer, limits}});
    std::vector<double> weight(n, 1);
    const int promoteAt = *rc::gen::inRange(300, 2000);
    const int isolateAt = *rc::gen::inRange(300, 2000);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int i = 0; i < 2400; ++i) {
      if (i % 250 == 0)
        for (double &it : weight)
          it = draw(fleet.Rng) < 0.4 ? 0 : draw(fleet.Rng);
      if (i == promoteAt)
        fleet.promote((fleet.Standby + 1) % n);
      if (i == isolateAt)
        for (std::size_t k = 0; k < n / 2; ++k) {
          fleet.Isolated.insert(k);
          setLiveNodes(fleet.Nodes[k], n / 2, at(fleet.Time));
        }
      if (i == isolateAt + 600)
        fleet.Isolated.clear();
      fleet.step();
      for (std::size_t k = 0; k < n; ++k)
        fleet.offer(k, Customer, 3 * limits.RequestsPerSecond * weight[k] / 2, 150, 800ms);
    }
    const double nodes = static_cast<double>(n);
    // One burst, plus one request per node because a bucket holds at least one request.
    const double requests = maxWindowAdmitted(fleet.Requests[Customer], limits.RequestsPerSecond);
    RC_ASSERT(requests <= limits.RequestsPerSecond + nodes);
    const double tokens = maxWindowAdmitted(fleet.Tokens[Customer], limits.TokensPerSecond);
    RC_ASSERT(tokens <= limits.TokensPerSecond + 150 * nodes);
    const auto streams = std::ranges::max(fleet.Streams[Customer]);
    worstRequests = std::max(worstRequests, requests / limits.RequestsPerSecond);
    worstTokens = std::max(worstTokens, tokens / limits.TokensPerSecond);
    worstStreams = std::max(worstStreams, streams / 400.0);
  }));
  BOOST_TEST_MESSAGE("maximum excess over rate x window, in seconds of the limit: requests "
                     << worstRequests << ", tokens " << worstTokens
                     << "; maximum streams as a fraction of their limit " << worstStreams);
}

// Guards against shares that stay with nodes without demand for longer than 2 s.
BOOST_AUTO_TEST_CASE(SharesMoveToDemandWithinTwoSeconds) {
  const ContractLimits limits{200, 1e6, 1000};
  double least = 1;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    TestFleet fleet(9, seed, {{Customer, limits}});
    for (int i = 0; i < 1400; ++i) {
      fleet.step();
      fleet.offer(i < 1000 ? 3 : 6, Customer, 400, 10, 100ms);
    }
    // Node 6, the only one with demand, may use the granted fraction and its floor.
    const double expected = limits.RequestsPerSecond * (0.8 + 0.2 / 9);
    const double got = sum(fleet.Requests[Customer], 1200, 1400) / 2;
    least = std::min(least, got / expected);
  }
  BOOST_TEST_MESSAGE(
      "minimum admitted fraction of the possible rate from 2 s after demand moved: " << least);
  BOOST_TEST(least > 0.85);
}

// Guards against a customer far above its contract taking capacity from other customers.
BOOST_AUTO_TEST_CASE(OverloadingCustomerDoesNotAffectOthers) {
  const ContractLimits limits{50, 1e6, 500};
  double flood = 0;
  const auto steadyAdmittedFraction = [&](double floodRate) {
    TestFleet fleet(9, 5, {{"flood", limits}, {"calm", limits}});
    Random rng(9);
    std::poisson_distribution<int> arrivals(0.5 * 50.0 / 9 * 0.01);
    double offered = 0;
    for (int i = 0; i < 6000; ++i) {
      fleet.step();
      for (std::size_t k = 0; k < 9; ++k) {
        fleet.offer(k, "flood", floodRate / 9, 10, 100ms);
        for (int n = arrivals(rng); n > 0; --n) {
          offered += i >= 1000 ? 1 : 0;
          fleet.submit(k, "calm", 10, 100ms);
        }
      }
    }
    flood = sum(fleet.Requests["flood"], 1000, 6000) / 50;
    return sum(fleet.Requests["calm"], 1000, 6000) / offered;
  };
  const double without = steadyAdmittedFraction(0);
  const double with = steadyAdmittedFraction(20 * 50.0);
  BOOST_TEST_MESSAGE("flood admitted " << flood << "/s of a limit of 50; customer at half its "
                                       << "limit: admitted fraction " << without << " alone, "
                                       << with << " beside the flood");
  BOOST_TEST(flood <= 50 * 1.05);
  BOOST_TEST(flood >= 50 * 0.9);
  BOOST_TEST(without > 0.9);
  BOOST_TEST(with > without - 0.01);
}

// Guards against grants by a home that may have been replaced, and against grants by a new home
// while shares of its predecessor may be in use.
BOOST_AUTO_TEST_CASE(GrantsRequireRecentConfirmationAndOneLifetime) {
  const ContractLimits limits{100, 1000, 10};
  const LimitsLookup lookUpLimits = [&](const std::string &) { return &limits; };
  const TimePoint start(100s);
  const auto grantsAt = [&](LimitHome &home, TimePoint time) {
    onDemandReport(home, {"n", 1}, {{{Customer, 10, 10, 1}}}, at(time));
    return grantShares(home, lookUpLimits, at(time));
  };
  LimitHome home;
  becomeHome(home, Customer, 4, at(start));
  confirmEpoch(home, Customer, 3, start + 4s);
  BOOST_TEST(grantsAt(home, start + 4s).empty());
  confirmEpoch(home, Customer, 4, start + 2s);
  BOOST_TEST(grantsAt(home, start + 3s).empty());
  const auto grants = grantsAt(home, start + 4s);
  BOOST_REQUIRE(grants.size() == 1U);
  // The share expires with the confirmation, 3 s after that was requested.
  BOOST_TEST((grants[0].Body.Shares[0].Lifetime == 1s));
  BOOST_TEST(grants[0].Body.Shares[0].RequestsPerSecond == 80.0);
  BOOST_TEST(grants[0].Body.Shares[0].Streams == 8U);
  BOOST_TEST(grantsAt(home, start + 5s).empty());
  resignHome(home, Customer);
  BOOST_TEST(grantsAt(home, start + 5s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
