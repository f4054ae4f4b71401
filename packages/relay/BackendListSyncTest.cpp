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

/// Entries with few different ids, so that two random lists overlap.
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

// Guards against lists that differ although each node applied all changes: a server that left would
// get requests forever.
BOOST_AUTO_TEST_CASE(DiffTurnsOneListIntoTheNext) {
  const bool ok = rc::check("news", [](std::uint64_t seed) {
    Random rng(seed);
    const BackendListSnapshot before = shared(randomList(rng));
    const BackendListSnapshot after = shared(randomList(rng));
    const message::BackendListDelta diff = diffLists(before, after, 7);
    const auto applied = applyListDiff(before, diff);
    RC_ASSERT(applied.has_value());
    RC_ASSERT(listDigest(*applied) == listDigest(after));
    RC_ASSERT(listDigest(shared(toEntries(*applied))) == listDigest(after));
    // A diff must not be applied to a list that missed an earlier change.
    const BackendListSnapshot other = shared(randomList(rng));
    if (listDigest(other) != listDigest(before))
      RC_ASSERT(!applyListDiff(other, diff).has_value());
  });
  BOOST_TEST(ok);
}

// Guards against a digest that changes with each heartbeat of a server, or that stays the same when
// a server drains or restarts.
BOOST_AUTO_TEST_CASE(DigestIgnoresOnlyRemainingTimes) {
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

// Guards against a snapshot without the servers whose entries expired while the store was
// unavailable: the nodes that receive it would remove them.
BOOST_AUTO_TEST_CASE(LapsedEntriesThatMayReturnAreInTheSnapshot) {
  Backends backends;
  applyList(backends, {{{.Id = "e", .Service = "m"}}}, false, Start);
  applyList(backends, {}, true, Start);
  BOOST_TEST(takeListSnapshot(backends).size() == 1U);
  applyList(backends, {}, false, Start);
  BOOST_TEST(takeListSnapshot(backends).empty());
}

BOOST_AUTO_TEST_SUITE_END()
