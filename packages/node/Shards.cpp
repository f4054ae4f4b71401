#include "record/Shards.h"
#include "node/Context.h"
#include "shard/Assign.h"

namespace chervil::node::detail {

namespace {

record::ShardView viewOf(const shard::Placement &placement, const NodeId &self) {
  record::ShardView view;
  view.Owner = placement.Owner;
  view.Standby = placement.Standby;
  view.Epoch = placement.Epoch;
  view.Ready = placement.Ready;
  view.Lost = placement.LostSince.has_value();
  view.LostSince = placement.LostSince.value_or(WallTime{});
  if (placement.Owner == self)
    view.Mine = record::Role::Owner;
  else if (placement.Standby == self)
    view.Mine = record::Role::Standby;
  return view;
}

// The first map has no owners that could be declared dead wrongly; a few members are enough.
constexpr std::chrono::seconds FirstMapDelay{3};

bool mayAssign(const State &state, const Now &now) {
  if (membership::isSettled(state.Members, now))
    return true;
  return state.Map.Version == 0 && state.Duty.MapRevision == 0 &&
         now.Steady - state.Members.StartedAt >= FirstMapDelay;
}

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
  std::vector<message::MemberUpdate> members;
  // Dead members are included: the regions of owners that are out of contact must be known.
  for (const auto &[name, member] : state.Members.Members)
    members.push_back(member.Info);
  shard::AssignOptions options;
  options.ApartRegions = membership::unreachableRegions(state.Members, now);
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
    count(ctx, "document_rejected", "shard_map");
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
  apply(ctx, record::onShards(ctx.S.Records, std::move(views), alive, ctx.Time));
  for (auto &[key, execution] : ctx.S.Executions)
    followOwner(ctx, execution);
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
  // After any other outcome the outer layer reads the map and announces the duty again.
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
