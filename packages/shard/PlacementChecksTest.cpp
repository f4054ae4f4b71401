#include "shard/PlacementChecks.h"

#include "base/Uuid.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::shard;
using namespace std::chrono_literals;

namespace {

const NodeId A{"a", 1};
const NodeId B{"b", 1};
const Placement ReadyPlacement{A, B, 5, true, std::nullopt};

RequestKey keyOf(WallTime created) {
  Random rng(3);
  return {"sul", makeUuid7(created, rng)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShardChecks)

// Guards against acknowledging a mark from a former owner or of another epoch, and against a former
// standby that acknowledges one.
BOOST_AUTO_TEST_CASE(MarkNeedsOwnerStandbyAndEpoch) {
  BOOST_TEST(acceptsMark(ReadyPlacement, B, A, 5, 5));
  BOOST_TEST(acceptsMark(ReadyPlacement, B, A, 5, 0));
  BOOST_TEST(!acceptsMark(ReadyPlacement, B, A, 4, 0));
  BOOST_TEST(!acceptsMark(ReadyPlacement, B, A, 6, 0));
  BOOST_TEST(!acceptsMark(ReadyPlacement, B, A, 5, 6));
  BOOST_TEST(!acceptsMark(ReadyPlacement, B, {"a", 2}, 5, 5));
  BOOST_TEST(!acceptsMark(ReadyPlacement, {"b", 2}, A, 5, 5));
  BOOST_TEST(!acceptsMark(ReadyPlacement, A, B, 5, 5));
  BOOST_TEST(!acceptsMark(Placement{A, {}, 5, false, std::nullopt}, {}, A, 5, 5));
}

// Guards against grants before the standby holds all marks: a failover would then lose one.
BOOST_AUTO_TEST_CASE(GrantNeedsAReadyStandby) {
  BOOST_TEST(mayGrantNonRepeatable(ReadyPlacement, A));
  BOOST_TEST(!mayGrantNonRepeatable(ReadyPlacement, B));
  BOOST_TEST(!mayGrantNonRepeatable(Placement{A, B, 5, false, std::nullopt}, A));
  BOOST_TEST(!mayGrantNonRepeatable(Placement{A, {}, 5, true, std::nullopt}, A));
}

// Guards against a second execution of a request whose mark was lost with the records of its shard.
BOOST_AUTO_TEST_CASE(AfterLossOnlyProvablyYoungerKeysRun) {
  const WallTime lost(std::chrono::milliseconds(1764800000000));
  Placement p = ReadyPlacement;
  const auto may = [&](const RequestKey &key, WallTime now) {
    return mayRunAfterLoss(p, key, now, 2s, 15min);
  };
  BOOST_TEST(may({"sul", "order-1"}, lost));
  p.LostSince = lost;
  BOOST_TEST(!may({"sul", "order-1"}, lost + 10s));
  BOOST_TEST(!may(keyOf(lost - 1s), lost + 10s));
  BOOST_TEST(!may(keyOf(lost + 4s), lost + 10s));
  BOOST_TEST(may(keyOf(lost + 4s + 1ms), lost + 10s));
  BOOST_TEST(may(keyOf(lost + 12s), lost + 10s));
  BOOST_TEST(!may(keyOf(lost + 12s + 1ms), lost + 10s));
  BOOST_TEST(!may({"sul", "order-1"}, lost + 15min + 4s));
  BOOST_TEST(may({"sul", "order-1"}, lost + 15min + 4s + 1ms));
}

// Guards against a caller whose clock is fast: its old keys would look newer than a loss of
// records.
BOOST_AUTO_TEST_CASE(KeysFromTheFutureAreRecognised) {
  const WallTime now(std::chrono::milliseconds(1764800000000));
  BOOST_TEST(!isFromFuture(keyOf(now + 2s), now, 2s));
  BOOST_TEST(isFromFuture(keyOf(now + 2s + 1ms), now, 2s));
  BOOST_TEST(!isFromFuture({"sul", "order-1"}, now, 2s));
}

BOOST_AUTO_TEST_SUITE_END()
