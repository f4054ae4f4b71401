#include "record/Shards.h"
#include "node/Context.h"
#include "shard/Assign.h"

#include <algorithm>
#include <set>

namespace chervil::node::detail {

namespace {

/// Returns the record table's view of a placement.
record::ShardView viewOf(const shard::Placement &placement, const NodeId &self) {
  record::ShardView view;
  view.Owner = placement.Owner;
  view.Standby = placement.Standby;
  view.Epoch = placement.Epoch;
  view.Ready = placement.Ready;
  view.Lost = placement.LostSince.has_value();
  view.LostSince = placement.LostSince.value_or(WallTime{});
  if (placement.Owner == self)
    view.LocalRole = record::Role::Owner;
  else if (placement.Standby == self)
    view.LocalRole = record::Role::Standby;
  return view;
}

// Time after the start at which the first shard map may be written. It is short, because without a
// map there are no owners that could wrongly be declared dead, and a few members are enough.
constexpr std::chrono::seconds FirstMapDelay{3};

/// True if the member list is reliable enough to assign shards.
bool mayAssign(const State &state, const Now &now) {
  if (membership::isSettled(state.Members, now))
    return true;
  return state.Map.Version == 0 && state.Duty.MapRevision == 0 &&
         now.Steady - state.Members.StartedAt >= FirstMapDelay;
}

/// True if the node's process is known to have stopped, and is not just unreachable.
bool isStopped(const State &state, const NodeId &id) {
  const membership::Member *member = membership::findByName(state.Members, id.Name);
  if (member != nullptr && member->Info.Id.Incarnation > id.Incarnation)
    return true;
  const auto gone = state.DeletedVms.find(id.Name);
  if (gone == state.DeletedVms.end())
    return false;
  // The time of the VM list and the start time come from different clocks, each with an error of up
  // to the margin. A later VM with the same name must not be taken for the deleted one.
  const WallTime started(std::chrono::milliseconds(id.Incarnation));
  return gone->second > started + 2 * state.Records.Settings.ClockMargin;
}

/// Returns the live members, and as dead members those owners and standbys of the map that are
/// known to have stopped.
std::vector<message::MemberUpdate> membersFor(const State &state, const shard::ShardMap &map) {
  std::vector<message::MemberUpdate> members;
  for (const auto &[name, member] : state.Members.Members)
    if (member.Info.State != message::MemberState::Dead)
      members.push_back(member.Info);
  std::set<NodeId> holders;
  for (const shard::Placement &it : map.Shards)
    holders.insert({it.Owner, it.Standby});
  for (const NodeId &id : holders) {
    if (!isSet(id) || isAlive(state, id) || !isStopped(state, id))
      continue;
    message::MemberUpdate stopped;
    stopped.Id = id;
    stopped.State = message::MemberState::Dead;
    members.push_back(std::move(stopped));
  }
  return members;
}

/// Returns the next shard map, or nullopt if the current one needs no change.
std::optional<shard::ShardMap> nextMap(const State &state, const Now &now) {
  shard::ShardMap map = state.Map;
  bool changed = false;
  for (const auto &[sender, ready] : state.Duty.Ready)
    if (auto next = shard::applyStandbyReady(map, sender, ready)) {
      map = std::move(*next);
      changed = true;
    }
  if (!mayAssign(state, now))
    return changed ? std::optional(map) : std::nullopt;
  const std::vector<message::MemberUpdate> members = membersFor(state, map);
  shard::AssignOptions options;
  options.PartitionedRegions = membership::unreachableRegions(state.Members, now);
  for (const auto &[name, member] : state.Members.Members)
    if (options.PartitionedRegions.contains(member.Info.Region))
      options.PartitionedHolders.insert(member.Info.Id);
  options.ShardCount = state.Settings.ShardCount;
  options.RetryHorizon = state.Records.Settings.RetryHorizon;
  options.ClockMargin = state.Records.Settings.ClockMargin;
  if (auto next = shard::assign(map, members, now, options))
    return next;
  return changed ? std::optional(map) : std::nullopt;
}

} // namespace

void adoptShardMap(Context &ctx, const std::string &body) {
  Result<shard::ShardMap> map = shard::parseShardMap(body);
  if (!map) {
    incrementCounter(ctx, "document_rejected", "shard_map");
    return;
  }
  if (map->Version <= ctx.S.Map.Version)
    return;
  ctx.S.Map = std::move(*map);
  std::vector<record::ShardView> views;
  views.reserve(ctx.S.Map.Shards.size());
  for (const shard::Placement &it : ctx.S.Map.Shards)
    views.push_back(viewOf(it, ctx.S.Self));
  const record::IsAlive alive = [&](const NodeId &id) { return isAlive(ctx.S, id); };
  applyRecordEffects(ctx, record::onShards(ctx.S.Records, std::move(views), alive, ctx.Time));
  updateHomes(ctx);
  for (auto &[key, execution] : ctx.S.Executions)
    updateHolder(ctx, execution);
}

void recordDeletedVms(Context &ctx, const std::vector<DeletedVm> &gone) {
  // Maximum number of entries; more VMs than are deleted within a day in a fleet of 320 nodes.
  constexpr std::size_t maxGoneVms = 1024;
  auto &known = ctx.S.DeletedVms;
  for (const DeletedVm &it : gone) {
    WallTime &at = known[it.Name];
    at = std::max(at, it.At);
  }
  while (known.size() > maxGoneVms)
    known.erase(std::ranges::min_element(known, {}, [](const auto &it) { return it.second; }));
}

void onShardDuty(Context &ctx, const ShardDuty &duty) {
  ctx.S.Duty.Held = duty.Held;
  ctx.S.Duty.MapRevision = duty.MapRevision;
  ctx.S.Duty.Writing = false;
  if (!duty.Held)
    ctx.S.Duty.Ready.clear();
}

void onShardMapWritten(Context &ctx, const ShardMapWritten &written) {
  ShardDutyState &duty = ctx.S.Duty;
  // After any other outcome, the process reads the map and sends ShardDuty again.
  if (written.Result != ShardMapWritten::Outcome::Done)
    return;
  duty.Writing = false;
  duty.MapRevision = written.Revision;
}

void onStandbyReady(Context &ctx, const NodeId &from, const message::StandbyReady &ready) {
  if (!ctx.S.Duty.Held)
    return;
  message::StandbyReady &known = ctx.S.Duty.Ready[from];
  known.Shards.insert(known.Shards.end(), ready.Shards.begin(), ready.Shards.end());
}

void tickShards(Context &ctx) {
  ShardDutyState &duty = ctx.S.Duty;
  if (!duty.Held || duty.Writing || ctx.Time.Steady < duty.NextWrite)
    return;
  const auto map = nextMap(ctx.S, ctx.Time);
  duty.Ready.clear();
  if (!map)
    return;
  duty.Writing = true;
  duty.NextWrite = ctx.Time.Steady + ctx.S.Settings.MapWritePeriod;
  emit(ctx, WriteShardMap{duty.MapRevision, map->Version, shard::serialise(*map)});
}

} // namespace chervil::node::detail
