#include "base/Random.h"
#include "limits/TokenAccount.h"
#include "limits/TokenHome.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::limits;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TokenLimits)

// Guards against the nodes together admitting more tokens than the limit plus one burst, and
// against rejections while the limit is not used up, with requests of different sizes on unequally
// loaded nodes.
BOOST_AUTO_TEST_CASE(NodesShareOneLimit) {
  BOOST_TEST(rc::check([] {
    constexpr std::size_t nodes = 9;
    const TokenLimit limit{100'000, 100'000};
    const double load = *rc::gen::element(0.5, 0.9, 3.0);
    TokenHome home;
    home.Since = TimePoint(1000s);
    std::vector<TokenAccount> accounts(nodes);
    Now now{TimePoint(1000s), WallTime(0s)};
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    std::exponential_distribution<double> gap(load * limit.Rate / 10'000);
    std::uniform_real_distribution<double> size(1'000, 19'000);
    std::uniform_int_distribution<std::size_t> node(0, nodes + 3);
    double admitted = 0;
    double offered = 0;
    // A new home starts with a low level, since its predecessor may have granted a burst.
    const TimePoint warm = now.Steady + 2s;
    std::uint64_t id = 0;
    std::uint64_t seq = 0;
    std::map<std::uint64_t, double> costs;
    const TimePoint end = now.Steady + 22s;
    while (now.Steady < end) {
      now.Steady += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(rng)));
      // The last node gets more requests than each of the others.
      TokenAccount &account = accounts[std::min(node(rng), nodes - 1)];
      const double cost = size(rng);
      ++id;
      if (now.Steady >= warm) {
        offered += cost;
        costs[id] = cost;
      }
      if (tryDebit(account, cost, now)) {
        admitted += costs[id];
      } else {
        enqueue(account, id, cost);
      }
      if (const auto amount = amountToClaim(account, now)) {
        onClaimSent(account, ++seq, *amount, now);
        const auto g =
            grantClaim(home, {"w", seq, *amount, false}, GrantRole::Home, limit, {9, 9}, now);
        for (const std::uint64_t it : onTokenGrant(account, seq, g.Granted, now).Admitted)
          admitted += costs[it];
      }
    }
    RC_ASSERT(admitted <= 20 * limit.Rate + limit.Burst);
    RC_ASSERT(admitted >= 0.85 * std::min(offered, 20 * limit.Rate));
    if (load < 0.6)
      RC_ASSERT(admitted >= 0.95 * offered);
  }));
}

// Guards against rejecting the first requests of a day while the limit is not used up (seen as
// status 429 0.15 s after the start of traffic), and against a burst at each change of homes.
BOOST_AUTO_TEST_CASE(NewBucketIsFullUnlessHomesJustChanged) {
  Now now{TimePoint(1000s), WallTime(0s)};
  const TokenLimit limit{1000, 1000};
  TokenHome old;
  old.Since = now.Steady - 10s;
  BOOST_TEST(grantClaim(old, {"w", 1, 1000, false}, GrantRole::Home, limit, {9, 9}, now).Granted ==
             1000);
  TokenHome fresh;
  fresh.Since = now.Steady;
  BOOST_TEST(
      grantClaim(fresh, {"w", 1, 1000, false}, GrantRole::Home, limit, {9, 9}, now).Granted ==
      InitialLevelFraction * 1000);
}

// Guards against a bucket capacity above the burst of the contract: seen as 205 runs in 8 s with a
// limit of 20 requests per second and a burst of 10 (fault soak, seeds 7, 13 and 19).
BOOST_AUTO_TEST_CASE(BucketIsAsDeepAsTheBurst) {
  Now now{TimePoint(1000s), WallTime(0s)};
  const auto idle = [&](const TokenLimit &limit) {
    TokenHome home;
    home.Since = now.Steady - 60s;
    return grantClaim(home, {"w", 1, 1000, false}, GrantRole::Home, limit, {9, 9}, now).Granted;
  };
  BOOST_TEST(idle({20, 10}) == 10);
  BOOST_TEST(idle({20, 100}) == 100);
  // A limit without a burst is usable.
  BOOST_TEST(idle({20, 0}) == 5);
}

// Guards against sending claims as fast as they are answered while a limit is exhausted: seen as
// nodes that did not respond for 1.5 s.
BOOST_AUTO_TEST_CASE(ExhaustedLimitIsClaimedAtAPace) {
  TokenAccount account;
  Now now{TimePoint(1000s), WallTime(0s)};
  unsigned claims = 0;
  for (int i = 0; i < 10'000; ++i) {
    now.Steady += 100us;
    if (i % 10 == 0 && !tryDebit(account, 10, now))
      enqueue(account, static_cast<std::uint64_t>(i) + 1, 10);
    if (const auto amount = amountToClaim(account, now)) {
      onClaimSent(account, ++claims, *amount, now);
      (void)onTokenGrant(account, claims, 0, now);
    }
  }
  BOOST_TEST(claims <= 26U);
}

// Guards against a lost claim that blocks its requests forever, and against a late grant that is
// taken as the answer to a newer claim.
BOOST_AUTO_TEST_CASE(LostClaimsAreRepeated) {
  TokenAccount account;
  Now now{TimePoint(1000s), WallTime(0s)};
  BOOST_TEST(!tryDebit(account, 10, now));
  enqueue(account, 1, 10);
  onClaimSent(account, 1, 10, now);
  BOOST_TEST(!amountToClaim(account, now).has_value());
  now.Steady += 1s;
  BOOST_TEST(hasClaimTimedOut(account, now));
  onClaimLost(account);
  BOOST_TEST(amountToClaim(account, now).has_value());
  onClaimSent(account, 2, 10, now);
  BOOST_TEST(onTokenGrant(account, 1, 0, now).Refused.empty());
  BOOST_TEST(onTokenGrant(account, 2, 0, now).Refused.size() == 1U);
}

// Guards against partitioned nodes that each grant the whole limit: seen as four times the limit
// while 3 of 7 nodes were partitioned.
BOOST_AUTO_TEST_CASE(NodesThatAreCutOffGrantAPart) {
  const auto granted = [](GrantRole role, FleetView view) {
    Now now{TimePoint(1000s), WallTime(0s)};
    TokenHome home;
    home.Since = now.Steady;
    double sum = 0;
    for (int i = 0; i < 80; ++i) {
      now.Steady += 100ms;
      sum += grantClaim(home, {"w", 1, 1000, false}, role, {1000, 1000}, view, now).Granted;
    }
    return sum;
  };
  const double allowed = (8 * 1000 + 1000) * 1.1;
  BOOST_TEST(granted(GrantRole::Home, {4, 7}) + 3 * granted(GrantRole::Home, {1, 7}) <= allowed);
  BOOST_TEST(granted(GrantRole::Home, {6, 7}) + granted(GrantRole::Isolated, {6, 7}) <= allowed);
  BOOST_TEST(granted(GrantRole::Home, {4, 7}) >= 8 * 1000);
  // The home and the fallback node both grant as much as they may for the whole window. An excess
  // of a tenth and 0.8 s of the rate is tolerated (fault soak, seed 338: 204 to 208 runs where 203
  // are allowed).
  BOOST_TEST(granted(GrantRole::Home, {7, 7}) + granted(GrantRole::Fallback, {7, 7}) <=
             allowed + 0.8 * 1000);
  // The only node of a fleet is not partitioned.
  BOOST_TEST(granted(GrantRole::Home, {1, 1}) >= 8 * 1000);
}

BOOST_AUTO_TEST_SUITE_END()
