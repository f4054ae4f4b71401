#include "shard/PlacementChecks.h"

#include "base/Uuid.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::shard;
using namespace std::chrono_literals;

namespace {

const NodeId A{"a", 1};
const NodeId B{"b", 1};
const Placement Held{A, B, 5, true, std::nullopt};

RequestKey keyOf(WallTime created) {
  Random rng(3);
  return {"sul", makeUuid7(created, rng)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShardChecks)

// Guards against acking a mark of a former owner, of another epoch, or as a former standby.
BOOST_AUTO_TEST_CASE(MarkNeedsOwnerStandbyAndEpoch) {
  BOOST_TEST(acceptsMark(Held, B, A, 5, 5));
  BOOST_TEST(acceptsMark(Held, B, A, 5, 0));
  BOOST_TEST(!acceptsMark(Held, B, A, 4, 0));
  BOOST_TEST(!acceptsMark(Held, B, A, 6, 0));
  BOOST_TEST(!acceptsMark(Held, B, A, 5, 6));
  BOOST_TEST(!acceptsMark(Held, B, {"a", 2}, 5, 5));
  BOOST_TEST(!acceptsMark(Held, {"b", 2}, A, 5, 5));
  BOOST_TEST(!acceptsMark(Held, A, B, 5, 5));
  BOOST_TEST(!acceptsMark(Placement{A, {}, 5, false, std::nullopt}, {}, A, 5, 5));
}

// Guards against grants before the standby holds every mark.
BOOST_AUTO_TEST_CASE(GrantNeedsAReadyStandby) {
  BOOST_TEST(mayGrantNonRepeatable(Held, A));
  BOOST_TEST(!mayGrantNonRepeatable(Held, B));
  BOOST_TEST(!mayGrantNonRepeatable(Placement{A, B, 5, false, std::nullopt}, A));
  BOOST_TEST(!mayGrantNonRepeatable(Placement{A, {}, 5, true, std::nullopt}, A));
}

// Guards against running a key twice whose mark was lost.
BOOST_AUTO_TEST_CASE(AfterLossOnlyProvablyYoungerKeysRun) {
  const WallTime lost(std::chrono::milliseconds(1764800000000));
  Placement p = Held;
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

// Guards against a fast caller clock that makes an old key look new.
BOOST_AUTO_TEST_CASE(KeysFromTheFutureAreRecognised) {
  const WallTime now(std::chrono::milliseconds(1764800000000));
  BOOST_TEST(!isFromFuture(keyOf(now + 2s), now, 2s));
  BOOST_TEST(isFromFuture(keyOf(now + 2s + 1ms), now, 2s));
  BOOST_TEST(!isFromFuture({"sul", "order-1"}, now, 2s));
}

BOOST_AUTO_TEST_SUITE_END()
