#include "relay/BackendListSync.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;

namespace {

const Now Start{TimePoint(1000s), WallTime(1000s)};

/// Entries drawn from few ids, so that two lists have some in common.
std::vector<BackendEntry> randomList(Random &rng) {
  std::vector<BackendEntry> out;
  for (int i = 0; i < 8; ++i) {
    if (rng() % 3 == 0)
      continue;
    BackendEntry it{.Id = "e" + std::to_string(i), .Service = "m", .Address = "10.0.0.1:1"};
    it.Draining = rng() % 4 == 0;
    it.Born = rng() % 2;
    it.WarmUpTime = std::chrono::milliseconds(rng() % 1000);
    out.push_back(it);
  }
  return out;
}

BackendListSnapshot shared(const std::vector<BackendEntry> &list) {
  Backends backends;
  applyList(backends, list, false, Start);
  return takeListSnapshot(backends);
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayBackendListSync)

// Guards against nodes whose lists differ although each took all news: a server that left would get
// work for ever.
BOOST_AUTO_TEST_CASE(NewsLeadFromOneReadingToTheNext) {
  const bool ok = rc::check("news", [](std::uint64_t seed) {
    Random rng(seed);
    const BackendListSnapshot before = shared(randomList(rng));
    const BackendListSnapshot after = shared(randomList(rng));
    const message::ListNews news = diffLists(before, after, 7);
    const auto applied = applyListDiff(before, news);
    RC_ASSERT(applied.has_value());
    RC_ASSERT(listDigest(*applied) == listDigest(after));
    RC_ASSERT(listDigest(shared(toEntries(*applied))) == listDigest(after));
    // A node that missed an earlier change is not taken for one that has it.
    const BackendListSnapshot other = shared(randomList(rng));
    if (listDigest(other) != listDigest(before))
      RC_ASSERT(!applyListDiff(other, news).has_value());
  });
  BOOST_TEST(ok);
}

// Guards against lists that count as different at each heartbeat of a server, or as equal when one
// server drains or starts again.
BOOST_AUTO_TEST_CASE(DigestFollowsWhatMatters) {
  BackendEntry it{.Id = "e", .Service = "m", .Address = "10.0.0.1:1", .Born = 5};
  const std::uint64_t digest = listDigest(shared({it}));
  it.WarmUpTime = 300ms;
  it.Leaves = 900ms;
  BOOST_TEST(listDigest(shared({it})) == digest);
  it.Draining = true;
  const std::uint64_t draining = listDigest(shared({it}));
  BOOST_TEST(draining != digest);
  it.Draining = false;
  it.Born = 6;
  BOOST_TEST(listDigest(shared({it})) != digest);
}

// Guards against a server that lapsed while the store was away, and is missing for the node that
// passes the list on.
BOOST_AUTO_TEST_CASE(EntriesThatMayComeBackAreShared) {
  Backends backends;
  applyList(backends, {{{.Id = "e", .Service = "m"}}}, false, Start);
  applyList(backends, {}, true, Start);
  BOOST_TEST(takeListSnapshot(backends).size() == 1U);
  applyList(backends, {}, false, Start);
  BOOST_TEST(takeListSnapshot(backends).empty());
}

BOOST_AUTO_TEST_SUITE_END()
