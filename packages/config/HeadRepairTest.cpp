#include "config/HeadRepair.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::config;
using namespace std::chrono_literals;

namespace {

Now at(Duration time) { return {TimePoint(time), WallTime{}}; }

} // namespace

BOOST_AUTO_TEST_SUITE(HeadRepairs)

// Guards against a head that lags for ever because its writer stopped, and against a repair that
// lowers a version in the head.
BOOST_AUTO_TEST_CASE(RaisesALaggingHeadAfterADelay) {
  Store store;
  HeadRepair repair;
  applyUpdate(store, {HeadKey, 3, R"({"version":3,"contracts":{"a":2,"b":5}})"}, at(0s));
  applyUpdate(store, {contractKey("a"), 4, "{}"}, at(0s));
  applyUpdate(store, {contractKey("b"), 5, "{}"}, at(0s));
  BOOST_TEST(!checkHead(repair, store, at(10s)).has_value());
  BOOST_TEST(!checkHead(repair, store, at(11s)).has_value());
  const auto read = checkHead(repair, store, at(12s));
  BOOST_REQUIRE(read.has_value());
  BOOST_REQUIRE(std::holds_alternative<ReadKey>(*read));
  BOOST_TEST(!checkHead(repair, store, at(13s)).has_value());
  // The stored head is newer than the node's copy for customer b.
  const ReadAnswer answer{std::get<ReadKey>(*read).Call, ReadStatus::Found, 17,
                          R"({"version":4,"contracts":{"a":2,"b":6}})"};
  const auto write = onRepairAnswer(repair, store, answer);
  BOOST_REQUIRE(write.has_value());
  const auto &cas = std::get<CompareAndSwap>(*write);
  BOOST_TEST(cas.Revision == 17U);
  const auto head = parseHead(cas.Body);
  BOOST_REQUIRE(head.has_value());
  BOOST_TEST(head->Version == 5U);
  BOOST_TEST(acceptedVersion(*head, "a") == 4U);
  BOOST_TEST(acceptedVersion(*head, "b") == 6U);
  BOOST_TEST(!onRepairAnswer(repair, store, WriteAnswer{cas.Call, WriteStatus::Lost}).has_value());
  // The head counts as lagging until the repaired one arrives as a document.
  BOOST_TEST(checkHead(repair, store, at(13s)).has_value());
}

// Guards against a repair that waits for ever for an answer, and against a write although the
// stored head does not lag.
BOOST_AUTO_TEST_CASE(RetriesAfterTimeoutAndWritesOnlyWhenNeeded) {
  Store store;
  HeadRepair repair;
  applyUpdate(store, {contractKey("a"), 1, "{}"}, at(0s));
  BOOST_TEST(!checkHead(repair, store, at(0s)).has_value());
  BOOST_TEST(checkHead(repair, store, at(2s)).has_value());
  BOOST_TEST(!checkHead(repair, store, at(3s)).has_value());
  const auto read = checkHead(repair, store, at(7s));
  BOOST_REQUIRE(read.has_value());
  const ReadAnswer answer{std::get<ReadKey>(*read).Call, ReadStatus::Found, 2,
                          R"({"version":1,"contracts":{"a":1}})"};
  BOOST_TEST(!onRepairAnswer(repair, store, answer).has_value());
  applyUpdate(store, {HeadKey, 1, answer.Body}, at(8s));
  BOOST_TEST(!checkHead(repair, store, at(20s)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
