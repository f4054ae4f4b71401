#include "record/Shards.h"

#include "record/Replication.h"
#include "record/Standby.h"

namespace chervil::record {

using message::RecordState;

namespace detail {

void resolveOrphan(State &state, Record &record, const Now &now, Effects &effects) {
  auto &data = record.Data;
  record.Changed = now.Steady;
  if (!data.Spec.Repeatable) {
    setEnded(state, record, RecordState::Unknown);
    notifyReadersOfEnd(record, ResultCode::ExecutorLost, effects);
    replicate(state, record, effects);
    return;
  }
  ++data.Run;
  data.Executor = state.Self;
  record.Granted = true;
  record.ForwardProgress = true;
  replicate(state, record, effects);
  effects.Takeovers.push_back(data);
}

} // namespace detail

namespace {

/// Returns true if this node resolves the record: it owns the shard, or holds the record in place
/// of an owner (no role, or no map yet).
bool isResponsibleFor(const State &state, const Record &record) {
  return state.Shards.empty() || state.Shards[record.Shard].LocalRole == Role::Owner ||
         state.Shards[record.Shard].LocalRole == Role::None;
}

/// Tells the readers of a shard to turn to its new owner, and stops its transfer.
void releaseOwnership(State &state, std::uint32_t shard, Effects &effects) {
  for (auto &[key, record] : state.Records)
    if (record.Shard == shard)
      detail::notifyReadersOfEnd(record, ResultCode::HandedOver, effects);
  state.Transfers.erase(shard);
}

/// Resolves the records of a newly owned shard whose executors have died.
void takeOwnership(State &state, std::uint32_t shard, const IsAlive &alive, const Now &now,
                   Effects &effects) {
  for (auto &[key, record] : state.Records) {
    if (record.Shard != shard)
      continue;
    record.Fallback = false;
    if (record.Data.State == RecordState::Running && record.Data.Executor != state.Self &&
        !alive(record.Data.Executor))
      detail::resolveOrphan(state, record, now, effects);
  }
}

} // namespace

Effects onShards(State &state, std::vector<ShardView> shards, const IsAlive &alive,
                 const Now &now) {
  Effects effects;
  const std::vector<ShardView> before = std::move(state.Shards);
  const bool first = before.size() != shards.size();
  state.Shards = std::move(shards);
  if (first)
    for (auto &[key, record] : state.Records)
      record.Shard = shardOf(state, key);
  for (std::uint32_t i = 0; i < state.Shards.size(); ++i) {
    const ShardView old = first ? ShardView{} : before[i];
    const ShardView &view = state.Shards[i];
    if (view.Epoch < old.Epoch)
      effects.Violations.push_back(Invariant::VersionNeverFalls);
    if (old.LocalRole == Role::Owner && view.LocalRole != Role::Owner)
      releaseOwnership(state, i, effects);
    if (old.LocalRole != Role::None && view.LocalRole == Role::None)
      detail::discardShard(state, i);
    if (view.LocalRole != Role::Owner)
      continue;
    if (old.LocalRole != Role::Owner)
      takeOwnership(state, i, alive, now, effects);
    if (view.Ready || !isSet(view.Standby))
      state.Transfers.erase(i);
    else if (old.Epoch != view.Epoch || old.Standby != view.Standby ||
             old.LocalRole != view.LocalRole)
      detail::startTransfer(state, i, now, effects);
  }
  return effects;
}

Effects checkExecutor(State &state, const RequestKey &key, const IsAlive &alive, const Now &now) {
  Effects effects;
  const auto it = state.Records.find(key);
  if (it == state.Records.end())
    return effects;
  Record &record = it->second;
  if (record.Data.State != RecordState::Running || !isResponsibleFor(state, record) ||
      now.Steady - record.Changed < state.Settings.ExecutorSilence)
    return effects;
  if (!alive(record.Data.Executor))
    detail::resolveOrphan(state, record, now, effects);
  else if (record.Granted)
    detail::grant(effects, record, message::CopyPlacement::Owner);
  return effects;
}

Effects onMemberDead(State &state, const NodeId &dead, const Now &now) {
  Effects effects;
  for (auto &[key, record] : state.Records) {
    std::erase_if(record.Readers, [&](const Reader &it) { return it.Node == dead; });
    if (record.Data.State == RecordState::Running && record.Data.Executor == dead &&
        isResponsibleFor(state, record))
      detail::resolveOrphan(state, record, now, effects);
  }
  return effects;
}

} // namespace chervil::record
