#include "record/Replication.h"

#include <algorithm>
#include <utility>

namespace chervil::record::detail {

using message::RecordState;

KeyState findKeyState(const State &state, const RequestKey &key) {
  if (const auto it = state.Records.find(key); it != state.Records.end()) {
    const auto &data = it->second.Data;
    return {true, data.State, data.BodyHash, data.Attempt, data.Run};
  }
  if (const Mark *mark = findMark(state.Marks, key))
    return {true, mark->State, mark->BodyHash, mark->Attempt, mark->Run};
  return {};
}

Record &findOrCreateRecord(State &state, const RequestKey &key, const Now &now) {
  const KeyState known = findKeyState(state, key);
  Record &record = state.Records[key];
  if (record.Data.Key.Key.empty()) {
    record.Data.Key = key;
    record.Data.BodyHash = known.BodyHash;
    record.Data.Attempt = known.Attempt;
    record.Data.Run = known.Run;
    record.Data.State = known.Exists ? known.State : RecordState::Closed;
    record.Data.Spec.Repeatable = !known.Exists;
    record.Shard = shardOf(state, key);
    eraseMark(state.Marks, key);
  }
  record.Changed = now.Steady;
  return record;
}

std::uint64_t replicate(State &state, const Record &record, Effects &effects) {
  const std::uint64_t seq = state.NextSeq++;
  if (state.Shards.empty())
    return seq;
  const ShardView &shard = state.Shards[record.Shard];
  if (shard.LocalRole == Role::Owner && isSet(shard.Standby))
    send(effects, shard.Standby,
         message::ReplicateRecord{record.Shard, shard.Epoch, seq, record.Data});
  return seq;
}

void awaitAck(State &state, std::uint64_t seq, PendingReply pending, const Now &now) {
  pending.Deadline = now.Steady + state.Settings.MarkTimeout;
  state.PendingReplies.emplace(seq, std::move(pending));
}

void grant(Effects &effects, Record &record, message::CopyPlacement where) {
  record.Granted = true;
  message::SubmitReply reply;
  reply.Key = record.Data.Key;
  reply.Attempt = record.Data.Attempt;
  reply.Decision = message::SubmitDecision::Granted;
  reply.Run = record.Data.Run;
  reply.Placement = where;
  send(effects, record.Data.Executor, reply);
}

bool requiresAck(const ShardView &shard) { return shard.Ready && isSet(shard.Standby); }

bool mayBePromoted(const State &state, std::uint32_t shard) {
  if (requiresAck(state.Shards[shard]))
    return true;
  const auto it = state.Transfers.find(shard);
  return it != state.Transfers.end() && it->second.Index == Transfer::AllStored;
}

bool isClosing(const State &state, const RequestKey &key) {
  return std::ranges::any_of(state.PendingReplies, [&](const auto &it) {
    return it.second.Type == PendingReply::Kind::Close && it.second.Key == key;
  });
}

void notifyReadersOfEnd(Record &record, ResultCode code, Effects &effects) {
  const auto &data = record.Data;
  for (const Reader &reader : std::exchange(record.Readers, {}))
    send(effects, reader.Node,
         message::End{reader.Number, code, data.Status, data.ContentType, data.Answer.size(),
                      data.Tokens});
}

void setFinished(State &state, Record &record) {
  record.Data.State = RecordState::Finished;
  state.FinishedOrder.push_back(record.Data.Key);
  state.AnswerBytes += record.Data.Answer.size();
}

void setEnded(State &state, Record &record, RecordState ended) {
  record.Data.State = ended;
  state.EndedKeys.push_back(record.Data.Key);
}

void dropAnswer(State &state, Record &record) {
  if (record.Data.State == RecordState::Finished)
    state.AnswerBytes -= std::min(state.AnswerBytes, record.Data.Answer.size());
  record.Data.Answer.clear();
}

} // namespace chervil::record::detail
