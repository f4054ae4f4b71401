#include "record/Owner.h"
#include "record/Replication.h"

namespace chervil::record {

using detail::send;
using message::RecordState;

namespace {

void replyClose(Effects &effects, const NodeId &to, const message::Close &close, ResultCode code) {
  send(effects, to, message::CloseReply{close.Key, close.Attempt, code});
}

/// Returns true if the sender may close: it holds the grant, or nothing has been granted.
bool mayClose(const State &state, const NodeId &from, const message::Close &close,
              const detail::KeyState &known) {
  if (!known.Exists || known.State == RecordState::Closed)
    return true;
  if (known.State != RecordState::Running || close.Run == 0)
    return false;
  const auto it = state.Records.find(close.Key);
  return it != state.Records.end() && it->second.Data.Executor == from &&
         it->second.Data.Run == close.Run;
}

} // namespace

Effects onClose(State &state, const NodeId &from, const message::Close &close, const Now &now) {
  Effects effects;
  if (state.Shards.empty()) {
    replyClose(effects, from, close, ResultCode::NotReady);
    return effects;
  }
  const std::uint32_t number = shardOf(state, close.Key);
  const ShardView &shard = state.Shards[number];
  const bool standby = shard.LocalRole == Role::Standby && shard.Ready;
  if (shard.LocalRole != Role::Owner && !standby) {
    replyClose(effects, from, close, ResultCode::StaleEpoch);
    return effects;
  }
  const detail::KeyState known = detail::findKeyState(state, close.Key);
  if (!known.Exists && !mayRunAfterLoss(shard, state.Settings, close.Key, now.Wall)) {
    replyClose(effects, from, close, ResultCode::ShardLost);
    return effects;
  }
  if (!mayClose(state, from, close, known)) {
    replyClose(effects, from, close, ResultCode::OutcomeUnknown);
    return effects;
  }
  if (known.Exists && known.State == RecordState::Closed && known.Attempt >= close.Attempt) {
    const bool unconfirmed = detail::isClosing(state, close.Key);
    replyClose(effects, from, close, unconfirmed ? ResultCode::NotReady : ResultCode::Ok);
    return effects;
  }
  Record &record = detail::findOrCreateRecord(state, close.Key, now);
  detail::setEnded(state, record, RecordState::Closed);
  record.Data.Attempt = close.Attempt;
  record.Data.BodyHash = close.BodyHash;
  record.Data.Spec.Repeatable = false;
  detail::notifyReadersOfEnd(record, ResultCode::AttemptClosed, effects);
  if (standby || !detail::mayBePromoted(state, number)) {
    detail::replicate(state, record, effects);
    replyClose(effects, from, close, ResultCode::Ok);
    return effects;
  }
  const std::uint64_t seq = detail::replicate(state, record, effects);
  detail::awaitAck(state, seq,
                   {PendingReply::Kind::Close,
                    close.Key,
                    number,
                    from,
                    close.Attempt,
                    close.Run,
                    known.Attempt,
                    {}},
                   now);
  return effects;
}

} // namespace chervil::record
