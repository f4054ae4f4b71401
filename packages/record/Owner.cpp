#include "record/Owner.h"

#include "base/Uuid.h"
#include "record/Replication.h"

#include <utility>

namespace chervil::record {

using detail::grant;
using detail::send;
using message::RecordState;
using message::SubmitDecision;
using message::SubmitReply;

namespace {

/// Refuses a submit. `nextAttempt` is the lowest attempt that may be accepted, 0 for none.
void refuse(Effects &effects, const NodeId &to, const message::RecordCopy &record, ResultCode code,
            std::uint32_t nextAttempt = 0) {
  SubmitReply reply;
  reply.Key = record.Key;
  reply.Attempt = record.Attempt;
  reply.Decision = SubmitDecision::Refused;
  reply.Code = code;
  reply.NextAttempt = nextAttempt;
  send(effects, to, reply);
}

/// Tells a node to read the answer of the known execution instead of executing.
void attach(Effects &effects, const NodeId &to, const Record &record) {
  SubmitReply reply;
  reply.Key = record.Data.Key;
  reply.Attempt = record.Data.Attempt;
  reply.Decision = SubmitDecision::Attached;
  reply.Run = record.Data.Run;
  send(effects, to, reply);
}

/// Keeps the longer answer of two copies of the same run.
void mergeAnswer(Record &record, const message::RecordCopy &copy) {
  if (copy.Answer.size() <= record.Data.Answer.size())
    return;
  record.Data.Answer = copy.Answer;
  record.Data.Tokens = copy.Tokens;
}

/// Registers a request that the sender already executes. Executors do this when the owner has
/// changed or has lost its copy.
void registerExecution(State &state, const NodeId &from, const message::Submit &submit,
                       const Now &now, Effects &effects) {
  const auto &copy = submit.Record;
  const bool known = detail::findKeyState(state, copy.Key).Exists;
  Record &record = detail::findOrCreateRecord(state, copy.Key, now);
  record.Fallback = submit.Fallback && (!known || record.Fallback);
  if (record.Data.State == RecordState::Finished ||
      (known && record.Data.State == RecordState::Running && record.Data.Run > copy.Run)) {
    attach(effects, from, record);
    return;
  }
  if (known && !copy.Spec.Repeatable && record.Data.State == RecordState::Closed &&
      record.Data.Attempt >= copy.Attempt)
    effects.Violations.push_back(Invariant::NotRunWithoutMark);
  const std::size_t previousSize = record.Data.Answer.size();
  if (record.Data.State == RecordState::Running && record.Data.Run == copy.Run) {
    mergeAnswer(record, copy);
    record.Data.Executor = from;
  } else {
    record.Data = copy;
    record.Data.State = RecordState::Running;
    record.Data.Executor = from;
  }
  for (const Reader &reader : record.Readers)
    if (record.Data.Answer.size() > previousSize)
      send(effects, reader.Node,
           message::Chunk{reader.Number, previousSize, record.Data.Answer.substr(previousSize)});
  if (!copy.Spec.Repeatable)
    record.Data.Spec.Body.clear();
  record.ForwardProgress = submit.DataCentre == state.DataCentre;
  if (record.ForwardProgress || !copy.Spec.Repeatable)
    detail::replicate(state, record, effects);
  grant(effects, record,
        submit.Fallback ? message::CopyPlacement::Peer : message::CopyPlacement::Owner);
}

/// Answers a submit whose key is already known. Returns false if it is to be accepted as new;
/// nothing has then been sent.
bool answerFromRecord(State &state, const NodeId &from, const message::Submit &submit,
                      Effects &effects) {
  const auto &copy = submit.Record;
  const detail::KeyState known = detail::findKeyState(state, copy.Key);
  if (!known.Exists)
    return false;
  if (known.BodyHash != copy.BodyHash) {
    refuse(effects, from, copy, ResultCode::KeyReused);
    return true;
  }
  const auto it = state.Records.find(copy.Key);
  switch (known.State) {
  case RecordState::Running:
    if (it->second.Data.Executor == from && it->second.Granted)
      // The grant was lost on its way. It is safe to repeat: the executor knows whether it has
      // already sent the request.
      grant(effects, it->second, message::CopyPlacement::Owner);
    else if (it->second.Data.Executor != from)
      attach(effects, from, it->second);
    return true;
  case RecordState::Finished:
    if (it == state.Records.end()) {
      refuse(effects, from, copy, ResultCode::AnswerExpired);
    } else {
      attach(effects, from, it->second);
    }
    return true;
  case RecordState::Unknown:
    refuse(effects, from, copy, ResultCode::OutcomeUnknown);
    return true;
  case RecordState::Closed:
    if (copy.Attempt > known.Attempt)
      return false;
    if (detail::isClosing(state, copy.Key)) {
      refuse(effects, from, copy, ResultCode::NotReady);
      return true;
    }
    refuse(effects, from, copy, ResultCode::AttemptClosed, known.Attempt + 1);
    return true;
  }
  return false;
}

/// Starts a new run of the key with the sender as executor. The body of non-repeatable work is not
/// stored, since it is never run from the record.
Record &createRun(State &state, const NodeId &from, const message::Submit &submit, const Now &now) {
  Record &record = detail::findOrCreateRecord(state, submit.Record.Key, now);
  const std::uint32_t run = record.Data.Run + 1;
  record.Data = submit.Record;
  record.Data.State = RecordState::Running;
  record.Data.Run = run;
  record.Data.Executor = from;
  record.Granted = false;
  record.Fallback = submit.Fallback;
  if (!record.Data.Spec.Repeatable)
    record.Data.Spec.Body.clear();
  return record;
}

/// Accepts a repeatable request. If owner and executor share a data centre the grant waits for the
/// standby, so that a copy exists outside; a timeout grants with local copies only.
void acceptRepeatable(State &state, const NodeId &from, const message::Submit &submit,
                      const Now &now, Effects &effects) {
  Record &record = createRun(state, from, submit, now);
  const ShardView *shard = state.Shards.empty() ? nullptr : &state.Shards[record.Shard];
  const bool owner = shard != nullptr && shard->LocalRole == Role::Owner;
  record.ForwardProgress = submit.DataCentre == state.DataCentre;
  if (!record.ForwardProgress) {
    grant(effects, record, owner ? message::CopyPlacement::Owner : message::CopyPlacement::Peer);
    return;
  }
  if (!owner || !isSet(shard->Standby)) {
    grant(effects, record, message::CopyPlacement::Local);
    return;
  }
  const std::uint64_t seq = detail::replicate(state, record, effects);
  detail::awaitAck(state, seq,
                   {PendingReply::Kind::Grant,
                    record.Data.Key,
                    record.Shard,
                    from,
                    record.Data.Attempt,
                    record.Data.Run,
                    0,
                    {}},
                   now);
}

/// Accepts a non-repeatable request. The grant waits for the standby, and without a ready standby
/// the request is refused.
void acceptNonRepeatable(State &state, const NodeId &from, const message::Submit &submit,
                         const Now &now, Effects &effects) {
  const auto &copy = submit.Record;
  const std::uint32_t number = shardOf(state, copy.Key);
  const ShardView &shard = state.Shards[number];
  const auto created = uuid7Time(copy.Key.Key);
  if (created && *created > now.Wall + state.Settings.ClockMargin) {
    refuse(effects, from, copy, ResultCode::KeyTimeInFuture);
    return;
  }
  const detail::KeyState before = detail::findKeyState(state, copy.Key);
  if (!before.Exists && !mayRunAfterLoss(shard, state.Settings, copy.Key, now.Wall)) {
    refuse(effects, from, copy, ResultCode::ShardLost);
    return;
  }
  if (!detail::requiresAck(shard) && detail::mayBePromoted(state, number)) {
    // The standby has been reported as ready, but the map that says so has not arrived. Until then
    // neither a grant nor "not_run" is safe.
    refuse(effects, from, copy, ResultCode::NotReady);
    return;
  }
  Record &record = createRun(state, from, submit, now);
  if (!detail::requiresAck(shard)) {
    detail::setEnded(state, record, RecordState::Closed);
    detail::replicate(state, record, effects);
    refuse(effects, from, copy, ResultCode::NoStandby, copy.Attempt + 1);
    return;
  }
  const std::uint64_t seq = detail::replicate(state, record, effects);
  detail::awaitAck(state, seq,
                   {PendingReply::Kind::Grant,
                    copy.Key,
                    record.Shard,
                    from,
                    copy.Attempt,
                    record.Data.Run,
                    before.Attempt,
                    {}},
                   now);
}

/// Closes a run whose mark the standby did not store: it was never granted.
void revokeRun(State &state, const PendingReply &pending, Record &record, Effects &effects,
               ResultCode code) {
  message::RecordCopy copy = record.Data;
  detail::setEnded(state, record, RecordState::Closed);
  // The attempt is closed only if the standby says so: the standby may be the owner by now and have
  // granted it.
  if (code != ResultCode::AttemptClosed)
    record.Data.Attempt = pending.PreviousClosedAttempt;
  detail::notifyReadersOfEnd(record, code == ResultCode::StaleEpoch ? ResultCode::HandedOver : code,
                             effects);
  refuse(effects, pending.Requester, copy, code, copy.Attempt + 1);
  if (record.Data.Attempt == 0)
    state.Records.erase(copy.Key);
}

/// Sends or withdraws the grant according to the reply of the standby. Does nothing if the run has
/// changed in the meantime.
void resolveGrant(State &state, const PendingReply &pending, ResultCode code, Effects &effects) {
  const auto it = state.Records.find(pending.Key);
  if (it == state.Records.end())
    return;
  Record &record = it->second;
  const auto &data = record.Data;
  if (data.State != RecordState::Running || data.Run != pending.Run ||
      data.Executor != pending.Requester || record.Granted)
    return;
  if (code == ResultCode::Ok)
    grant(effects, record, message::CopyPlacement::Owner);
  else if (data.Spec.Repeatable)
    grant(effects, record, message::CopyPlacement::Local);
  else
    revokeRun(state, pending, record, effects, code);
}

/// Restores the previous closed attempt, because the standby did not confirm the close.
void reopenAttempt(State &state, const PendingReply &pending) {
  const detail::KeyState known = detail::findKeyState(state, pending.Key);
  if (!known.Exists || known.State != RecordState::Closed || known.Attempt != pending.Attempt)
    return;
  if (const auto it = state.Records.find(pending.Key); it != state.Records.end()) {
    it->second.Data.Attempt = pending.PreviousClosedAttempt;
    if (pending.PreviousClosedAttempt == 0)
      state.Records.erase(it);
    return;
  }
  Mark mark = *findMark(state.Marks, pending.Key);
  mark.Attempt = pending.PreviousClosedAttempt;
  eraseMark(state.Marks, pending.Key);
  if (pending.PreviousClosedAttempt > 0)
    addMark(state.Marks, hashOf(pending.Key), mark);
}

/// Reports the result of a close and undoes it if the standby did not confirm it.
void resolveClose(State &state, const PendingReply &pending, ResultCode code, Effects &effects) {
  const bool closed = code == ResultCode::Ok || code == ResultCode::AttemptClosed;
  send(effects, pending.Requester,
       message::CloseReply{pending.Key, pending.Attempt,
                           closed ? ResultCode::Ok : ResultCode::OutcomeUnknown});
  // A close by the holder of the grant stays: its grant cannot be issued again.
  if (!closed && pending.Run == 0)
    reopenAttempt(state, pending);
}

} // namespace

namespace detail {

/// Resolves a waiting reply with the result of the replication to the standby.
void resolvePending(State &state, const PendingReply &pending, ResultCode code, Effects &effects) {
  if (pending.Type == PendingReply::Kind::Grant)
    resolveGrant(state, pending, code, effects);
  else
    resolveClose(state, pending, code, effects);
}

} // namespace detail

Effects onSubmit(State &state, const NodeId &from, const message::Submit &submit, const Now &now) {
  Effects effects;
  const auto &copy = submit.Record;
  if (state.Shards.empty() && !submit.Fallback) {
    refuse(effects, from, copy, ResultCode::NotReady);
    return effects;
  }
  if (!submit.Fallback && !state.Shards.empty()) {
    const ShardView &shard = state.Shards[shardOf(state, copy.Key)];
    if (shard.LocalRole != Role::Owner || submit.Epoch > shard.Epoch) {
      refuse(effects, from, copy, ResultCode::StaleEpoch);
      return effects;
    }
  }
  if (submit.Executing) {
    registerExecution(state, from, submit, now, effects);
    return effects;
  }
  if (answerFromRecord(state, from, submit, effects))
    return effects;
  if (copy.Spec.Repeatable)
    acceptRepeatable(state, from, submit, now, effects);
  else if (submit.Fallback)
    refuse(effects, from, copy, ResultCode::NoOwner);
  else
    acceptNonRepeatable(state, from, submit, now, effects);
  return effects;
}

Effects onMarkReply(State &state, const NodeId &from, const message::ReplicateRecordReply &reply,
                    const Now &) {
  Effects effects;
  const auto it = state.PendingReplies.find(reply.Seq);
  if (it == state.PendingReplies.end() || it->second.Shard != reply.Shard ||
      reply.Shard >= state.Shards.size())
    return effects;
  // An acknowledgement from a former standby, or from an earlier epoch, does not count.
  const ShardView &shard = state.Shards[reply.Shard];
  if (reply.Code == ResultCode::Ok && (shard.Standby != from || shard.Epoch != reply.Epoch))
    return effects;
  const PendingReply pending = it->second;
  state.PendingReplies.erase(it);
  detail::resolvePending(state, pending, reply.Code, effects);
  return effects;
}

Effects onProgress(State &state, const NodeId &from, const message::Progress &progress,
                   const Now &now) {
  Effects effects;
  const auto it = state.Records.find(progress.Key);
  if (it == state.Records.end())
    return effects;
  Record &record = it->second;
  auto &data = record.Data;
  if (data.State != RecordState::Running || data.Run != progress.Run || data.Executor != from) {
    // Another node executes the request by now: the sender becomes a reader.
    if (data.Run > progress.Run || data.State == RecordState::Finished)
      attach(effects, from, record);
    return effects;
  }
  const std::uint64_t size = data.Answer.size();
  if (progress.Offset > size || progress.Offset + progress.Bytes.size() <= size)
    return effects;
  const std::string newBytes = progress.Bytes.substr(size - progress.Offset);
  data.Answer += newBytes;
  data.Tokens = progress.Tokens;
  record.Changed = now.Steady;
  for (const Reader &reader : record.Readers)
    send(effects, reader.Node, message::Chunk{reader.Number, size, newBytes});
  if (record.ForwardProgress && !state.Shards.empty()) {
    const ShardView &shard = state.Shards[record.Shard];
    if (shard.LocalRole == Role::Owner && isSet(shard.Standby))
      send(effects, shard.Standby,
           message::Progress{data.Key, data.Run, size, newBytes, data.Tokens});
  }
  return effects;
}

Effects onFinish(State &state, const NodeId &from, const message::Finish &finish, const Now &now) {
  Effects effects;
  const auto it = state.Records.find(finish.Key);
  if (it == state.Records.end())
    return effects;
  Record &record = it->second;
  auto &data = record.Data;
  if (data.Run == finish.Run && data.State != RecordState::Running) {
    send(effects, from, message::FinishReply{finish.Key, finish.Run});
    return effects;
  }
  if (data.Run != finish.Run || data.Executor != from) {
    attach(effects, from, record);
    return effects;
  }
  const Role role = state.Shards.empty() ? Role::None : state.Shards[record.Shard].LocalRole;
  if (finish.Code == ResultCode::HandedOver && data.Spec.Repeatable && role == Role::Standby &&
      !record.Fallback) {
    // The owner has the record again. Its copy here stays for the case that the owner is lost.
    send(effects, from, message::FinishReply{finish.Key, finish.Run});
    detail::notifyReadersOfEnd(record, ResultCode::HandedOver, effects);
    return effects;
  }
  if (finish.Code == ResultCode::HandedOver && data.Spec.Repeatable && role == Role::Owner &&
      (!data.Answer.empty() || !record.Readers.empty())) {
    // The executor declined a repeated grant, because it does not run the request any more. The
    // record is all that is left of it, and callers wait for the rest of the answer.
    send(effects, from, message::FinishReply{finish.Key, finish.Run});
    detail::resolveOrphan(state, record, now, effects);
    return effects;
  }
  // Bytes are missing. Without a reply the executor registers again with the whole answer.
  if (finish.Code == ResultCode::Ok && finish.TotalSize != data.Answer.size())
    return effects;
  data.Code = finish.Code;
  data.Status = finish.Status;
  data.ContentType = finish.ContentType;
  data.Tokens = finish.Tokens;
  record.Changed = now.Steady;
  send(effects, from, message::FinishReply{finish.Key, finish.Run});
  if (finish.Code == ResultCode::Ok) {
    detail::setFinished(state, record);
    detail::notifyReadersOfEnd(record, ResultCode::Ok, effects);
    detail::replicate(state, record, effects);
    return effects;
  }
  detail::notifyReadersOfEnd(record, finish.Code, effects);
  if (data.Spec.Repeatable) {
    // A repeatable request that failed may be submitted again under the same key.
    data.State = RecordState::Closed;
    data.Attempt = 0;
    detail::replicate(state, record, effects);
    state.Records.erase(it);
    return effects;
  }
  detail::setEnded(state, record, RecordState::Unknown);
  detail::replicate(state, record, effects);
  return effects;
}

Effects onHandover(State &state, const NodeId &from, const message::Handover &handover,
                   const Now &now) {
  Effects effects;
  const auto &copy = handover.Record;
  const detail::KeyState known = detail::findKeyState(state, copy.Key);
  const bool alreadyDecided =
      known.Exists && (known.Run > copy.Run || known.State == RecordState::Finished);
  if (!copy.Spec.Repeatable || alreadyDecided) {
    send(effects, from, message::HandoverReply{copy.Key, copy.Run, alreadyDecided});
    return effects;
  }
  Record &record = detail::findOrCreateRecord(state, copy.Key, now);
  if (!known.Exists)
    record.Fallback = state.Shards.empty() || state.Shards[record.Shard].LocalRole != Role::Owner;
  const std::size_t previousSize = record.Data.Answer.size();
  if (record.Data.Run != copy.Run || copy.Answer.size() >= previousSize)
    record.Data = copy;
  record.Data.State = RecordState::Running;
  record.Data.Run = copy.Run + 1;
  record.Data.Executor = state.Self;
  record.ForwardProgress = true;
  record.Granted = true;
  for (const Reader &reader : record.Readers)
    if (record.Data.Answer.size() > previousSize)
      send(effects, reader.Node,
           message::Chunk{reader.Number, previousSize, record.Data.Answer.substr(previousSize)});
  detail::replicate(state, record, effects);
  effects.Takeovers.push_back(record.Data);
  send(effects, from, message::HandoverReply{copy.Key, copy.Run, true});
  return effects;
}

} // namespace chervil::record
