#include "record/Standby.h"

#include "record/Replication.h"

#include <utility>

namespace chervil::record {

using detail::send;
using message::RecordState;

namespace {

/// Estimated size of the fixed fields of a record in a transfer chunk.
constexpr std::size_t RecordOverheadBytes = 128;

/// Returns true if this node is the standby of `shard` under `owner` in exactly this epoch.
bool isStandbyOf(const State &state, std::uint32_t shard, const NodeId &owner,
                 std::uint64_t epoch) {
  if (shard >= state.Shards.size())
    return false;
  const ShardView &view = state.Shards[shard];
  return view.LocalRole == Role::Standby && view.Owner == owner && view.Epoch == epoch;
}

/// Stores a copy from the owner. An ended record is scheduled for reduction to a mark; a closed
/// record with attempt 0 (a repeatable request that failed) is removed.
void storeRecord(State &state, const message::RecordCopy &copy, std::uint32_t shard,
                 const Now &now) {
  Record &record = detail::findOrCreateRecord(state, copy.Key, now);
  if (record.Data.State == RecordState::Finished)
    detail::dropAnswer(state, record);
  // Forwarded progress may be ahead of this copy: the longer answer of the same run is kept.
  std::string answer;
  if (record.Data.Run == copy.Run && record.Data.Answer.size() > copy.Answer.size())
    answer = std::move(record.Data.Answer);
  record.Data = copy;
  if (!answer.empty())
    record.Data.Answer = std::move(answer);
  record.Shard = shard;
  record.Granted = true;
  record.Fallback = false;
  if (copy.State == RecordState::Finished)
    detail::setFinished(state, record);
  if (copy.State == RecordState::Closed && copy.Attempt == 0)
    state.Records.erase(copy.Key);
  else if (copy.State == RecordState::Closed || copy.State == RecordState::Unknown)
    detail::setEnded(state, record, copy.State);
}

/// Estimated size of a record in a transfer chunk, in bytes.
std::size_t sizeOf(const message::RecordCopy &copy) {
  return copy.Answer.size() + copy.Spec.Body.size() + copy.Key.Key.size() + RecordOverheadBytes;
}

/// Sends the next chunk and restarts the timeout of the transfer.
void sendChunk(State &state, std::uint32_t shard, Transfer &transfer, const Now &now,
               Effects &effects) {
  message::TableChunk chunk;
  chunk.Shard = shard;
  chunk.Epoch = transfer.Epoch;
  chunk.Index = transfer.Index;
  std::size_t bytes = 0;
  while (transfer.NextKey < transfer.Keys.size() && bytes < state.Settings.ChunkBytes) {
    const auto it = state.Records.find(transfer.Keys[transfer.NextKey++]);
    if (it == state.Records.end())
      continue;
    bytes += sizeOf(it->second.Data);
    chunk.Records.push_back(it->second.Data);
  }
  while (transfer.NextMark < transfer.Marks.size() && bytes < state.Settings.ChunkBytes) {
    bytes += sizeof(message::MarkCopy);
    chunk.Marks.push_back(transfer.Marks[transfer.NextMark++]);
  }
  chunk.Last =
      transfer.NextKey == transfer.Keys.size() && transfer.NextMark == transfer.Marks.size();
  transfer.LastSent = chunk.Last;
  transfer.Deadline = now.Steady + state.Settings.TransferTimeout;
  send(effects, state.Shards[shard].Standby, std::move(chunk));
}

} // namespace

namespace detail {

void startTransfer(State &state, std::uint32_t shard, const Now &now, Effects &effects) {
  const ShardView &view = state.Shards[shard];
  Transfer transfer;
  transfer.Epoch = view.Epoch;
  for (const auto &[key, record] : state.Records)
    if (record.Shard == shard)
      transfer.Keys.push_back(key);
  for (const auto &[hash, mark] : state.Marks.Entries)
    if (mark.Shard == shard)
      transfer.Marks.push_back(
          {hash, mark.KeyCheck, mark.BodyHash, mark.Attempt, mark.Run, mark.State,
           std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady - mark.Changed)});
  Transfer &it = state.Transfers[shard] = std::move(transfer);
  sendChunk(state, shard, it, now, effects);
}

void discardShard(State &state, std::uint32_t shard) {
  for (auto it = state.Records.begin(); it != state.Records.end();) {
    if (it->second.Shard != shard || it->second.Fallback) {
      ++it;
      continue;
    }
    dropAnswer(state, it->second);
    it = state.Records.erase(it);
  }
  eraseMarksOfShard(state.Marks, shard);
  state.Transfers.erase(shard);
}

} // namespace detail

Effects onMark(State &state, const NodeId &from, const message::ReplicateRecord &mark,
               const Now &now) {
  Effects effects;
  message::ReplicateRecordReply reply{mark.Shard, mark.Epoch, mark.Seq, ResultCode::Ok};
  if (!isStandbyOf(state, mark.Shard, from, mark.Epoch)) {
    reply.Code = ResultCode::StaleEpoch;
    send(effects, from, reply);
    return effects;
  }
  const detail::KeyState known = detail::findKeyState(state, mark.Record.Key);
  if (mark.Record.State == RecordState::Running && !mark.Record.Spec.Repeatable && known.Exists &&
      known.State == RecordState::Closed && known.Attempt >= mark.Record.Attempt) {
    // A gateway that could not reach the owner has closed this attempt here.
    reply.Code = ResultCode::AttemptClosed;
    send(effects, from, reply);
    return effects;
  }
  storeRecord(state, mark.Record, mark.Shard, now);
  send(effects, from, reply);
  return effects;
}

bool onForwardedProgress(State &state, const NodeId &from, const message::Progress &progress,
                         const Now &now) {
  const auto it = state.Records.find(progress.Key);
  if (it == state.Records.end() || state.Shards.empty())
    return false;
  Record &record = it->second;
  const ShardView &view = state.Shards[record.Shard];
  if (view.LocalRole != Role::Standby || view.Owner != from)
    return false;
  auto &data = record.Data;
  const std::uint64_t size = data.Answer.size();
  if (data.State != RecordState::Running || data.Run != progress.Run || progress.Offset > size ||
      progress.Offset + progress.Bytes.size() <= size)
    return true;
  data.Answer += progress.Bytes.substr(size - progress.Offset);
  data.Tokens = progress.Tokens;
  record.Changed = now.Steady;
  return true;
}

Effects onTableChunk(State &state, const NodeId &from, const message::TableChunk &chunk,
                     const Now &now) {
  Effects effects;
  message::TableAck ack{chunk.Shard, chunk.Epoch, chunk.Index, false};
  if (!isStandbyOf(state, chunk.Shard, from, chunk.Epoch)) {
    send(effects, from, ack);
    return effects;
  }
  if (chunk.Index == 0)
    detail::discardShard(state, chunk.Shard);
  for (const auto &copy : chunk.Records)
    storeRecord(state, copy, chunk.Shard, now);
  for (const auto &mark : chunk.Marks)
    addMark(state.Marks, mark.KeyHash,
            {mark.KeyCheck, mark.BodyHash, now.Steady - mark.Age, chunk.Shard, mark.Attempt,
             mark.Run, mark.State});
  ack.Stored = true;
  send(effects, from, ack);
  return effects;
}

Effects onTableAck(State &state, const NodeId &from, const message::TableAck &ack, const Now &now) {
  Effects effects;
  const auto it = state.Transfers.find(ack.Shard);
  if (it == state.Transfers.end() || ack.Shard >= state.Shards.size())
    return effects;
  Transfer &transfer = it->second;
  if (state.Shards[ack.Shard].Standby != from || transfer.Epoch != ack.Epoch ||
      transfer.Index != ack.Index || !ack.Stored)
    return effects;
  if (transfer.LastSent) {
    // The transfer is kept until the map shows the standby as ready, to repeat the report if
    // needed.
    transfer.Deadline = now.Steady + state.Settings.TransferTimeout;
    effects.ReadyStandbys.push_back({ack.Shard, ack.Epoch});
    transfer.Index = Transfer::AllStored;
    return effects;
  }
  ++transfer.Index;
  sendChunk(state, ack.Shard, transfer, now, effects);
  return effects;
}

} // namespace chervil::record
