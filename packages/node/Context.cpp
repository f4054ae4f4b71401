#include "node/Context.h"

#include "base/Hash.h"
#include "membership/Queries.h"

namespace chervil::node::detail {

using message::MemberState;

void emit(Context &ctx, Effect effect) { ctx.Out.push_back(std::move(effect)); }

void incrementCounter(Context &ctx, const char *metric, const char *reason) {
  emit(ctx, IncrementCounter{metric, reason});
}

void reportViolation(Context &ctx, Invariant what, std::string detail) {
  emit(ctx, InvariantViolation{what, std::move(detail)});
}

void sendTo(Context &ctx, const NodeId &to, message::Message what) {
  if (to == ctx.S.Self) {
    ctx.Local.push_back(std::move(what));
    return;
  }
  const membership::Member *member = membership::find(ctx.S.Members, to);
  if (member == nullptr || member->Info.PeerAddress.empty()) {
    incrementCounter(ctx, "peer_dropped", "unknown_member");
    return;
  }
  emit(ctx, SendPeer{member->Info.PeerAddress, std::move(what)});
}

void applyRecordEffects(Context &ctx, record::Effects effects) {
  for (auto &it : effects.Messages)
    sendTo(ctx, it.To, std::move(it.Payload));
  for (const Invariant it : effects.Violations)
    reportViolation(ctx, it, "record");
  for (auto &it : effects.Takeovers)
    startTakeover(ctx, std::move(it));
  if (!effects.ReadyStandbys.empty()) {
    // The holder of duty/shards is one of the watchers. This node does not know which one, so the
    // message goes to all of them.
    const message::StandbyReady ready{effects.ReadyStandbys};
    for (const auto &[centre, ids] : membership::watchers(ctx.S.Members))
      for (const NodeId &id : ids)
        sendTo(ctx, id, ready);
  }
}

bool isAlive(const State &state, const NodeId &id) {
  if (id == state.Self)
    return true;
  const membership::Member *member = membership::find(state.Members, id);
  return member != nullptr && member->Info.State != MemberState::Dead;
}

bool isStaying(const State &state, const NodeId &id) {
  return isAlive(state, id) && !membership::isLeaving(state.Members, id);
}

const record::ShardView *shardFor(const State &state, const RequestKey &key) {
  if (state.Records.Shards.empty())
    return nullptr;
  return &state.Records.Shards[record::shardOf(state.Records, key)];
}

NodeId rendezvousNode(const State &state, const RequestKey &key,
                      const std::function<bool(const NodeId &)> &excluded) {
  NodeId best = state.Self;
  std::pair<int, std::uint64_t> bestScore{0, 0};
  for (const membership::Member *it : membership::live(state.Members)) {
    const NodeId &id = it->Info.Id;
    if (id == state.Self || !isStaying(state, id) || (excluded && excluded(id)))
      continue;
    const int rank = it->Info.DataCentre != state.DataCentre ? 2 : 1;
    const std::pair<int, std::uint64_t> score{rank, hashBytes(id.Name, hashOf(key))};
    if (score > bestScore) {
      bestScore = score;
      best = id;
    }
  }
  return best;
}

std::optional<Holder> holderFor(const State &state, const RequestKey &key, bool repeatable,
                                bool avoidOwner) {
  const record::ShardView *shard = shardFor(state, key);
  if (shard != nullptr && isSet(shard->Owner) && isAlive(state, shard->Owner) &&
      !(avoidOwner && repeatable))
    return Holder{shard->Owner, false};
  if (!repeatable)
    return std::nullopt;
  if (shard != nullptr && isSet(shard->Standby) && shard->Standby != state.Self &&
      isStaying(state, shard->Standby))
    return Holder{shard->Standby, true};
  const auto isOwner = [&](const NodeId &id) { return shard != nullptr && shard->Owner == id; };
  return Holder{rendezvousNode(state, key, isOwner), true};
}

} // namespace chervil::node::detail
