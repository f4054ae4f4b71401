#include "testing/standin/KvStore.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::standin;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(KvStores)

// Guards against a compare-and-swap that lets two writers win.
BOOST_AUTO_TEST_CASE(OnlyTheExpectedRevisionWrites) {
  KvStore store;
  const auto first = put(store, "a", "1", {.IfRevision = 0});
  BOOST_TEST((first.Status == KvStatus::Done));
  const auto again = put(store, "a", "2", {.IfRevision = 0});
  BOOST_TEST((again.Status == KvStatus::Conflict));
  BOOST_TEST(again.Revision == first.Revision);
  const auto next = put(store, "a", "2", {.IfRevision = first.Revision});
  BOOST_TEST((next.Status == KvStatus::Done));
  BOOST_TEST(next.Revision > first.Revision);
  const auto stale = put(store, "a", "3", {.IfRevision = first.Revision});
  BOOST_TEST((stale.Status == KvStatus::Conflict));
  BOOST_TEST(store.Items.at("a").Value == "2");
  BOOST_TEST((remove(store, "a", first.Revision).Status == KvStatus::Conflict));
  BOOST_TEST((remove(store, "a", next.Revision).Status == KvStatus::Done));
  const auto missing = remove(store, "a", next.Revision);
  BOOST_TEST((missing.Status == KvStatus::Conflict));
  BOOST_TEST(missing.Revision == 0U);
  BOOST_TEST((put(store, "a", "4", {.IfRevision = next.Revision}).Status == KvStatus::Conflict));
}

// Guards against a lease that outlives its time or is revived after it ended.
BOOST_AUTO_TEST_CASE(KeysGoWithTheirLease) {
  KvStore store;
  const TimePoint now{1s};
  const std::string id = addLease(store, 100ms, now);
  const auto held = put(store, "duty", "n1", {.IfRevision = 0, .Lease = id});
  BOOST_TEST((held.Status == KvStatus::Done));
  BOOST_TEST(!expireLeases(store, now + 99ms));
  BOOST_TEST(keepAlive(store, id, now + 99ms).has_value());
  BOOST_TEST(!expireLeases(store, now + 198ms));
  BOOST_TEST(!keepAlive(store, id, now + 199ms).has_value());
  BOOST_TEST(expireLeases(store, now + 199ms));
  BOOST_TEST(!store.Items.contains("duty"));
  BOOST_TEST(
      (put(store, "duty", "n1", {.IfRevision = 0, .Lease = id}).Status == KvStatus::NoLease));
  const std::string second = addLease(store, 100ms, now + 200ms);
  const auto next = put(store, "duty", "n2", {.IfRevision = 0, .Lease = second});
  // The fencing number of the next holder is higher.
  BOOST_TEST(next.Revision > held.Revision);
}

// Guards against a key that is deleted with a lease it is no longer attached to.
BOOST_AUTO_TEST_CASE(RewrittenKeyLeavesItsLease) {
  KvStore store;
  const TimePoint now{1s};
  const std::string id = addLease(store, 100ms, now);
  put(store, "a", "1", {.Lease = id});
  put(store, "a", "2", {});
  BOOST_TEST(!expireLeases(store, now + 1s));
  BOOST_TEST(store.Items.at("a").Value == "2");
}

// Guards against watches that skip, repeat or invent events.
BOOST_AUTO_TEST_CASE(WatchersSeeEachEventOnce) {
  KvStore store;
  put(store, "a/1", "x", {});
  put(store, "b/1", "y", {});
  remove(store, "a/1", std::nullopt);
  const auto events = eventsAfter(store, "a/", 0);
  BOOST_REQUIRE(events.has_value());
  BOOST_REQUIRE(events->size() == 2U);
  BOOST_TEST(events->at(0).Value.value() == "x");
  BOOST_TEST(!events->at(1).Value.has_value());
  BOOST_TEST(eventsAfter(store, "a/", 1)->size() == 1U);
  BOOST_TEST(eventsAfter(store, "", 3)->empty());
  BOOST_TEST(!eventsAfter(store, "", 4).has_value());
  for (int i = 0; i < 10001; ++i)
    put(store, "c", std::to_string(i), {});
  BOOST_TEST(!eventsAfter(store, "", 3).has_value());
  BOOST_TEST(eventsAfter(store, "", 4)->size() == 10000U);
}

BOOST_AUTO_TEST_SUITE_END()
