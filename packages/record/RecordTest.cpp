#include "base/Uuid.h"
#include "record/Owner.h"
#include "record/Retention.h"
#include "record/Shards.h"
#include "record/Standby.h"

#include <boost/test/unit_test.hpp>
#include <optional>

using namespace chervil;
using namespace chervil::record;
using message::SubmitDecision;

namespace {

const NodeId OwnerId{"a", 1};
const NodeId StandbyId{"b", 2};
const NodeId GatewayId{"c", 3};
const NodeId OtherId{"d", 4};

Now at(int ms) {
  return {TimePoint(std::chrono::milliseconds(1'000'000 + ms)),
          WallTime(std::chrono::milliseconds(1'764'800'000'000 + ms))};
}

ShardView makeShardView(Role role, std::uint64_t epoch = 1, bool ready = true) {
  return {role, OwnerId, StandbyId, epoch, ready, false, {}};
}

State makeState(NodeId self, std::string dc, ShardView shard) {
  State state;
  state.Self = std::move(self);
  state.DataCentre = std::move(dc);
  state.Shards = {std::move(shard)};
  return state;
}

message::Submit makeSubmit(const std::string &key, bool repeatable, std::uint32_t attempt = 1) {
  message::Submit submit;
  submit.Record.Key = {"acme", key};
  submit.Record.BodyHash = 7;
  submit.Record.Attempt = attempt;
  submit.Record.Spec.Repeatable = repeatable;
  submit.Record.Spec.Body = "body";
  submit.Epoch = 1;
  submit.DataCentre = "dc3";
  return submit;
}

template <typename T> std::optional<T> findMessage(const Effects &effects, const NodeId &to) {
  for (const auto &it : effects.Messages)
    if (it.To == to)
      if (const T *what = std::get_if<T>(&it.Payload))
        return *what;
  return std::nullopt;
}

/// An owner and its standby. deliverMark() passes the mark in `effects` to the standby and its
/// reply back to the owner.
struct OwnerAndStandby {
  State Owner = makeState(OwnerId, "dc1", makeShardView(Role::Owner));
  State Standby = makeState(StandbyId, "dc2", makeShardView(Role::Standby));

  Effects deliverMark(const Effects &effects, int ms) {
    const auto mark = findMessage<message::ReplicateRecord>(effects, StandbyId);
    BOOST_REQUIRE(mark.has_value());
    const auto reply = findMessage<message::ReplicateRecordReply>(
        onMark(Standby, OwnerId, *mark, at(ms)), OwnerId);
    BOOST_REQUIRE(reply.has_value());
    return onMarkReply(Owner, StandbyId, *reply, at(ms));
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestRecord)

// Guards against a grant before the standby holds the mark: a promoted standby would not know that
// the request may have run.
BOOST_FIXTURE_TEST_CASE(GrantWaitsForTheStandby, OwnerAndStandby) {
  const Effects first = onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0));
  BOOST_TEST(!findMessage<message::SubmitReply>(first, GatewayId).has_value());
  const auto reply = findMessage<message::SubmitReply>(deliverMark(first, 1), GatewayId);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->Decision == SubmitDecision::Granted));
  BOOST_TEST(Standby.Records.at({"acme", "k"}).Data.Spec.Body.empty());
}

// Guards against a second execution when the caller repeats the request at another gateway.
BOOST_FIXTURE_TEST_CASE(SecondGatewayAttaches, OwnerAndStandby) {
  deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0)), 1);
  const auto reply = findMessage<message::SubmitReply>(
      onSubmit(Owner, OtherId, makeSubmit("k", false), at(2)), OtherId);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->Decision == SubmitDecision::Attached));
}

// Guards against a delayed copy of a closed attempt that runs after the caller was told "not_run".
BOOST_FIXTURE_TEST_CASE(ClosedAttemptNeverRuns, OwnerAndStandby) {
  const Effects closing = onClose(Owner, GatewayId, {{"acme", "k"}, 7, 1, 0}, at(0));
  BOOST_TEST(!findMessage<message::CloseReply>(closing, GatewayId).has_value());
  const auto closed = findMessage<message::CloseReply>(deliverMark(closing, 1), GatewayId);
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST((closed->Code == ResultCode::Ok));
  record::tick(Owner, at(2));
  const auto late = findMessage<message::SubmitReply>(
      onSubmit(Owner, OtherId, makeSubmit("k", false), at(3)), OtherId);
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST((late->Code == ResultCode::AttemptClosed));
  BOOST_TEST(late->NextAttempt == 2U);
  const auto next = findMessage<message::SubmitReply>(
      deliverMark(onSubmit(Owner, OtherId, makeSubmit("k", false, 2), at(4)), 5), OtherId);
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST((next->Decision == SubmitDecision::Granted));
}

// Guards against an owner that grants an attempt which a gateway, unable to reach the owner, has
// closed at the standby.
BOOST_FIXTURE_TEST_CASE(CloseAtTheStandbyStopsTheOwner, OwnerAndStandby) {
  const auto closed = findMessage<message::CloseReply>(
      onClose(Standby, OtherId, {{"acme", "k"}, 7, 1, 0}, at(0)), OtherId);
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST((closed->Code == ResultCode::Ok));
  const auto reply = findMessage<message::SubmitReply>(
      deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(1)), 2), GatewayId);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->Code == ResultCode::AttemptClosed));
}

// Guards against "not_run" for a key with a mark, whose request may have run.
BOOST_FIXTURE_TEST_CASE(CloseOfAMarkedKeyIsUnknown, OwnerAndStandby) {
  deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0)), 1);
  for (State *state : {&Owner, &Standby}) {
    const auto reply = findMessage<message::CloseReply>(
        onClose(*state, OtherId, {{"acme", "k"}, 7, 1, 0}, at(2)), OtherId);
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST((reply->Code == ResultCode::OutcomeUnknown));
  }
}

// Guards against an owner that was paused and grants after its standby was promoted.
BOOST_FIXTURE_TEST_CASE(PromotedStandbyRefusesTheOldEpoch, OwnerAndStandby) {
  const Effects first = onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0));
  ShardView promoted = makeShardView(Role::Owner, 2, false);
  promoted.Owner = StandbyId;
  promoted.Standby = OtherId;
  onShards(
      Standby, {promoted}, [](const NodeId &) { return true; }, at(1));
  const auto mark = findMessage<message::ReplicateRecord>(first, StandbyId);
  const auto reply =
      findMessage<message::ReplicateRecordReply>(onMark(Standby, OwnerId, *mark, at(2)), OwnerId);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->Code == ResultCode::StaleEpoch));
  const auto refusal =
      findMessage<message::SubmitReply>(onMarkReply(Owner, StandbyId, *reply, at(3)), GatewayId);
  BOOST_REQUIRE(refusal.has_value());
  BOOST_TEST((refusal->Decision == SubmitDecision::Refused));
}

// Guards against running a key that may have run before owner and standby were lost together.
BOOST_AUTO_TEST_CASE(LostShardRunsOnlyProvablyYoungerKeys) {
  ShardView lost = makeShardView(Role::Owner, 5);
  lost.Lost = true;
  lost.LostSince = at(0).Wall;
  State state = makeState(OwnerId, "dc1", lost);
  const auto old = findMessage<message::SubmitReply>(
      onSubmit(state, GatewayId, makeSubmit("plain", false), at(10'000)), GatewayId);
  BOOST_REQUIRE(old.has_value());
  BOOST_TEST((old->Code == ResultCode::ShardLost));
  Random rng(1);
  const std::string young = makeUuid7(at(5000).Wall, rng);
  const Effects accepted = onSubmit(state, GatewayId, makeSubmit(young, false), at(5001));
  BOOST_TEST(findMessage<message::ReplicateRecord>(accepted, StandbyId).has_value());
  const std::string future = makeUuid7(at(20'000).Wall, rng);
  const auto early = findMessage<message::SubmitReply>(
      onSubmit(state, GatewayId, makeSubmit(future, false), at(10'000)), GatewayId);
  BOOST_REQUIRE(early.has_value());
  BOOST_TEST((early->Code == ResultCode::KeyTimeInFuture));
}

// Guards against an answer that is lost with its executor, and against bytes that are delivered
// twice when parts of the answer overlap.
BOOST_FIXTURE_TEST_CASE(OwnerTakesOverFromADeadExecutor, OwnerAndStandby) {
  const auto granted = findMessage<message::SubmitReply>(
      onSubmit(Owner, GatewayId, makeSubmit("k", true), at(0)), GatewayId);
  BOOST_REQUIRE(granted.has_value());
  onFetch(Owner, OtherId, {{"acme", "k"}, 0, 9, false}, at(1));
  onProgress(Owner, GatewayId, {{"acme", "k"}, 1, 0, "abc", 3}, at(2));
  const auto chunk = findMessage<message::Chunk>(
      onProgress(Owner, GatewayId, {{"acme", "k"}, 1, 2, "cd", 4}, at(3)), OtherId);
  BOOST_REQUIRE(chunk.has_value());
  BOOST_TEST(chunk->Bytes == "d");
  BOOST_TEST(chunk->Offset == 3U);
  const Effects dead = onMemberDead(Owner, GatewayId, at(4));
  BOOST_REQUIRE(dead.Takeovers.size() == 1U);
  BOOST_TEST(dead.Takeovers[0].Answer == "abcd");
  BOOST_TEST(dead.Takeovers[0].Run == 2U);
  const auto stale = findMessage<message::SubmitReply>(
      onProgress(Owner, GatewayId, {{"acme", "k"}, 1, 4, "X", 5}, at(5)), GatewayId);
  BOOST_REQUIRE(stale.has_value());
  BOOST_TEST((stale->Decision == SubmitDecision::Attached));
  BOOST_TEST(Owner.Records.at({"acme", "k"}).Data.Answer == "abcd");
}

// Guards against a record that runs for ever because it arrived after the death of its executor,
// and against a takeover from an executor that merely has nothing to report yet.
BOOST_FIXTURE_TEST_CASE(SilentRecordOfADeadExecutorIsTakenOver, OwnerAndStandby) {
  const RequestKey key{"acme", "k"};
  const auto isDead = [](const NodeId &) { return false; };
  onSubmit(Owner, GatewayId, makeSubmit("k", true), at(0));
  BOOST_TEST(checkExecutor(Owner, key, isDead, at(4999)).Takeovers.empty());
  BOOST_TEST(checkExecutor(Owner, key, isDead, at(5000)).Takeovers.size() == 1U);
  BOOST_TEST((Owner.Records.at(key).Data.Executor == OwnerId));
}

// Guards against a record that runs for ever because its executor never got the grant, or lost it
// with its caller.
BOOST_FIXTURE_TEST_CASE(SilentExecutorGetsTheGrantAgain, OwnerAndStandby) {
  const auto isAlive = [](const NodeId &) { return true; };
  deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0)), 1);
  BOOST_TEST(checkExecutor(Owner, {"acme", "k"}, isAlive, at(4999)).Messages.empty());
  const Effects silent = checkExecutor(Owner, {"acme", "k"}, isAlive, at(5000));
  BOOST_TEST(silent.Takeovers.empty());
  const auto again = findMessage<message::SubmitReply>(silent, GatewayId);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((again->Decision == SubmitDecision::Granted));
  BOOST_TEST(again->Run == 1U);
}

// Guards against a part of an answer, and the callers that wait for the rest, that are dropped
// because the executor does not run the request any more.
BOOST_FIXTURE_TEST_CASE(DeclinedGrantOfABegunAnswerIsTakenOver, OwnerAndStandby) {
  const message::Finish declined{{"acme", "k"}, 1, ResultCode::HandedOver, 0, "", 0, 0};
  for (const bool isBegun : {true, false}) {
    for (const bool isRead : {true, false}) {
      Owner.Records.clear();
      onSubmit(Owner, GatewayId, makeSubmit("k", true), at(0));
      if (isBegun)
        onProgress(Owner, GatewayId, {{"acme", "k"}, 1, 0, "part", 1}, at(1));
      if (isRead)
        onFetch(Owner, OtherId, {{"acme", "k"}, 0, 9, false}, at(2));
      const Effects effects = onFinish(Owner, GatewayId, declined, at(6000));
      BOOST_TEST(findMessage<message::FinishReply>(effects, GatewayId).has_value());
      BOOST_TEST(!findMessage<message::End>(effects, OtherId).has_value());
      BOOST_TEST(effects.Takeovers.size() == (isBegun || isRead ? 1U : 0U));
      if (isBegun && !effects.Takeovers.empty()) {
        BOOST_TEST(effects.Takeovers[0].Answer == "part");
        BOOST_TEST(effects.Takeovers[0].Run == 2U);
      }
      BOOST_TEST(Owner.Records.size() == effects.Takeovers.size());
    }
  }
}

// Guards against a standby that drops a record, which it kept for an unreachable owner, for the
// table of that owner, and that drops the owner's copy when the executor has returned to the owner.
BOOST_FIXTURE_TEST_CASE(StandbyKeepsTheOwnersCopyWhenItIsReleased, OwnerAndStandby) {
  const message::Finish release{{"acme", "k"}, 1, ResultCode::HandedOver, 0, "", 0, 0};
  message::Submit submit = makeSubmit("k", true);
  submit.Fallback = true;
  onSubmit(Standby, GatewayId, submit, at(0));
  onFinish(Standby, GatewayId, release, at(1));
  BOOST_TEST(Standby.Records.empty());
  onSubmit(Standby, GatewayId, submit, at(2));
  onTableChunk(Standby, OwnerId, {0, 1, 0, true, {}, {}}, at(2));
  BOOST_TEST(Standby.Records.size() == 1U);
  onFetch(Standby, OtherId, {{"acme", "k"}, 0, 9, false}, at(3));
  submit.Fallback = false;
  submit.Executing = true;
  submit.DataCentre = Owner.DataCentre;
  submit.Record.Run = 1;
  deliverMark(onSubmit(Owner, GatewayId, submit, at(4)), 5);
  const Effects effects = onFinish(Standby, GatewayId, release, at(6));
  BOOST_TEST(Standby.Records.size() == 1U);
  const auto end = findMessage<message::End>(effects, OtherId);
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((end->Code == ResultCode::HandedOver));
}

// Guards against a second run of a non-repeatable request after its executor died.
BOOST_FIXTURE_TEST_CASE(DeadExecutorOfANonRepeatableCallMeansUnknown, OwnerAndStandby) {
  deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0)), 1);
  BOOST_TEST(onMemberDead(Owner, GatewayId, at(2)).Takeovers.empty());
  record::tick(Owner, at(3));
  const auto reply = findMessage<message::SubmitReply>(
      onSubmit(Owner, OtherId, makeSubmit("k", false), at(4)), OtherId);
  BOOST_REQUIRE(reply.has_value());
  BOOST_TEST((reply->Code == ResultCode::OutcomeUnknown));
}

// Guards against replaying an answer to another request that reuses the key with another body.
BOOST_FIXTURE_TEST_CASE(FinishedAnswerIsReplayedForTheSameBodyOnly, OwnerAndStandby) {
  deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0)), 1);
  onProgress(Owner, GatewayId, {{"acme", "k"}, 1, 0, "done", 1}, at(2));
  onFinish(Owner, GatewayId, {{"acme", "k"}, 1, ResultCode::Ok, 201, "text/plain", 4, 1}, at(3));
  const Effects read = onFetch(Owner, OtherId, {{"acme", "k"}, 0, 5, false}, at(4));
  BOOST_TEST(findMessage<message::Chunk>(read, OtherId)->Bytes == "done");
  BOOST_TEST(findMessage<message::End>(read, OtherId)->Status == 201);
  message::Submit other = makeSubmit("k", false);
  other.Record.BodyHash = 8;
  const auto reused =
      findMessage<message::SubmitReply>(onSubmit(Owner, OtherId, other, at(5)), OtherId);
  BOOST_TEST((reused->Code == ResultCode::KeyReused));
}

// Guards against an answer that counts as complete although the owner has not received all bytes.
BOOST_FIXTURE_TEST_CASE(FinishWithMissingBytesIsIgnored, OwnerAndStandby) {
  onSubmit(Owner, GatewayId, makeSubmit("k", true), at(0));
  const Effects early =
      onFinish(Owner, GatewayId, {{"acme", "k"}, 1, ResultCode::Ok, 200, "", 4, 1}, at(1));
  BOOST_TEST(!findMessage<message::FinishReply>(early, GatewayId).has_value());
  message::Submit again = makeSubmit("k", true);
  again.Executing = true;
  again.Record.Run = 1;
  again.Record.Answer = "full";
  onSubmit(Owner, GatewayId, again, at(2));
  const Effects late =
      onFinish(Owner, GatewayId, {{"acme", "k"}, 1, ResultCode::Ok, 200, "", 4, 1}, at(3));
  BOOST_TEST(findMessage<message::FinishReply>(late, GatewayId).has_value());
}

// Guards against a new standby that lacks marks made before or during the transfer.
BOOST_FIXTURE_TEST_CASE(NewStandbyReceivesTheWholeTable, OwnerAndStandby) {
  Owner.Settings.ChunkBytes = 200;
  for (int i = 0; i < 20; ++i)
    deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k" + std::to_string(i), false), at(0)), 1);
  onClose(Owner, OtherId, {{"acme", "closed"}, 7, 1, 0}, at(1));
  record::tick(Owner, at(2));
  State fresh = makeState(OtherId, "dc4", makeShardView(Role::Standby, 2, false));
  fresh.Shards[0].Standby = OtherId;
  ShardView next = makeShardView(Role::Owner, 2, false);
  next.Standby = OtherId;
  Effects effects = onShards(
      Owner, {next}, [](const NodeId &) { return true; }, at(3));
  for (int i = 0; i < 100 && effects.ReadyStandbys.empty(); ++i) {
    const auto chunk = findMessage<message::TableChunk>(effects, OtherId);
    BOOST_REQUIRE(chunk.has_value());
    const auto ack =
        findMessage<message::TableAck>(onTableChunk(fresh, OwnerId, *chunk, at(4)), OwnerId);
    effects = onTableAck(Owner, OtherId, *ack, at(4));
  }
  BOOST_TEST(effects.ReadyStandbys.size() == 1U);
  BOOST_TEST(fresh.Records.size() == 20U);
  BOOST_TEST(findMark(fresh.Marks, {"acme", "closed"}) != nullptr);
}

// Guards against unbounded memory: answers are discarded beyond their budget, and marks after the
// retry horizon.
BOOST_FIXTURE_TEST_CASE(AnswersAndMarksExpire, OwnerAndStandby) {
  Owner.Settings.AnswerBudget = 10;
  deliverMark(onSubmit(Owner, GatewayId, makeSubmit("k", false), at(0)), 1);
  onProgress(Owner, GatewayId, {{"acme", "k"}, 1, 0, std::string(100, 'x'), 1}, at(2));
  onFinish(Owner, GatewayId, {{"acme", "k"}, 1, ResultCode::Ok, 200, "", 100, 1}, at(3));
  record::tick(Owner, at(4));
  BOOST_TEST(Owner.Records.empty());
  const auto reply = findMessage<message::SubmitReply>(
      onSubmit(Owner, OtherId, makeSubmit("k", false), at(5)), OtherId);
  BOOST_TEST((reply->Code == ResultCode::AnswerExpired));
  record::tick(Owner, at(16 * 60 * 1000));
  BOOST_TEST(Owner.Marks.Entries.empty());
}

// Guards against "not_run" from a former owner that has not yet received the map in which its
// standby is ready and has become the owner.
BOOST_FIXTURE_TEST_CASE(ReportedStandbyMustAckBeforeNotRun, OwnerAndStandby) {
  Owner.Shards.clear();
  Standby.Shards.clear();
  const IsAlive alive = [](const NodeId &) { return true; };
  onShards(Standby, {makeShardView(Role::Standby, 2, false)}, alive, at(0));
  const Effects start = onShards(Owner, {makeShardView(Role::Owner, 2, false)}, alive, at(0));
  const auto early = findMessage<message::SubmitReply>(
      onSubmit(Owner, GatewayId, makeSubmit("k", false), at(1)), GatewayId);
  BOOST_REQUIRE(early.has_value());
  BOOST_TEST((early->Code == ResultCode::NoStandby));

  const auto chunk = findMessage<message::TableChunk>(start, StandbyId);
  BOOST_REQUIRE(chunk.has_value());
  const auto ack =
      findMessage<message::TableAck>(onTableChunk(Standby, OwnerId, *chunk, at(2)), OwnerId);
  BOOST_REQUIRE(ack.has_value());
  BOOST_TEST(onTableAck(Owner, StandbyId, *ack, at(3)).ReadyStandbys.size() == 1U);

  const auto later = findMessage<message::SubmitReply>(
      onSubmit(Owner, GatewayId, makeSubmit("m", false), at(4)), GatewayId);
  BOOST_REQUIRE(later.has_value());
  BOOST_TEST((later->Code == ResultCode::NotReady));
  const Effects closing = onClose(Owner, GatewayId, {{"acme", "m"}, 7, 1, 0}, at(5));
  BOOST_TEST(!findMessage<message::CloseReply>(closing, GatewayId).has_value());
  const auto closed = findMessage<message::CloseReply>(deliverMark(closing, 6), GatewayId);
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST((closed->Code == ResultCode::Ok));
}

// Guards against "not_run" for a reader whose fetch reaches an outdated copy of the record: a later
// attempt may have run.
BOOST_FIXTURE_TEST_CASE(FetchOfAClosedAttemptDoesNotClaimNotRun, OwnerAndStandby) {
  deliverMark(onClose(Owner, GatewayId, {{"acme", "k"}, 7, 1, 0}, at(0)), 1);
  for (int ms : {2, 3}) {
    const auto end = findMessage<message::End>(
        onFetch(Owner, OtherId, {{"acme", "k"}, 0, 9, false}, at(ms)), OtherId);
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((info(end->Code).Result == Outcome::Unknown));
    record::tick(Owner, at(ms));
  }
}

// Guards against "not_run" for an attempt whose close the standby has not confirmed. The standby
// may be the owner by now and have granted the attempt.
BOOST_FIXTURE_TEST_CASE(UnconfirmedCloseDoesNotClaimNotRun, OwnerAndStandby) {
  const Effects closing = onClose(Owner, GatewayId, {{"acme", "k"}, 7, 1, 0}, at(0));
  BOOST_TEST(!findMessage<message::CloseReply>(closing, GatewayId).has_value());
  record::tick(Owner, at(1));
  const auto again = findMessage<message::CloseReply>(
      onClose(Owner, OtherId, {{"acme", "k"}, 7, 1, 0}, at(2)), OtherId);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((again->Code == ResultCode::NotReady));
  const auto waits = findMessage<message::SubmitReply>(
      onSubmit(Owner, OtherId, makeSubmit("k", false), at(3)), OtherId);
  BOOST_REQUIRE(waits.has_value());
  BOOST_TEST((waits->Code == ResultCode::NotReady));

  const auto failed = findMessage<message::CloseReply>(record::tick(Owner, at(60'000)), GatewayId);
  BOOST_REQUIRE(failed.has_value());
  BOOST_TEST((failed->Code == ResultCode::OutcomeUnknown));
  const Effects next = onSubmit(Owner, OtherId, makeSubmit("k", false), at(60'001));
  BOOST_TEST(!findMessage<message::SubmitReply>(next, OtherId).has_value());
  BOOST_TEST(findMessage<message::ReplicateRecord>(next, StandbyId).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
