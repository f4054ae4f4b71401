#include "node/Context.h"

#include <algorithm>

namespace chervil::node::detail {

namespace {

/// Returns the node that is asked next to take over the execution: the owner, the standby, or
/// another node, preferably in another data centre. Returns an unset NodeId if none is left.
NodeId successorFor(const State &state, const Execution &execution) {
  const auto refused = [&](const NodeId &id) {
    return std::ranges::find(execution.HandoverRefused, id.Name) != execution.HandoverRefused.end();
  };
  const RequestKey &key = execution.Record.Key;
  if (const record::ShardView *shard = shardFor(state, key); shard != nullptr) {
    for (const NodeId &it : {shard->Owner, shard->Standby})
      if (isSet(it) && it != state.Self && isStaying(state, it) && !refused(it))
        return it;
  }
  const NodeId other = rendezvousNode(state, key, refused);
  return other == state.Self ? NodeId{} : other;
}

/// Asks a successor to take over the execution, or the next one if the last did not answer in time.
void handOver(Context &ctx, Execution &execution) {
  if (isSet(execution.HandoverTo)) {
    if (ctx.Time.Steady < execution.HandoverDeadline)
      return;
    execution.HandoverRefused.push_back(execution.HandoverTo.Name);
  }
  execution.HandoverTo = successorFor(ctx.S, execution);
  execution.HandoverDeadline = ctx.Time.Steady + ctx.S.Settings.HandoverTimeout;
  if (!isSet(execution.HandoverTo)) {
    // All candidates have been asked. Start again, because one may have become reachable.
    execution.HandoverRefused.clear();
    return;
  }
  message::RecordCopy record = execution.Record;
  record.Executor = ctx.S.Self;
  sendTo(ctx, execution.HandoverTo, message::Handover{std::move(record)});
}

/// True if this node has no calls and executions left and no shard that a standby can take over.
bool isDrained(const State &state) {
  if (!state.Calls.empty() || !state.Executions.empty())
    return false;
  // A leaving owner keeps its shard until the standby is promoted.
  return std::ranges::none_of(state.Records.Shards, [](const record::ShardView &it) {
    return it.LocalRole == record::Role::Owner && isSet(it.Standby) && it.Ready;
  });
}

void moveReaders(Context &ctx) {
  std::vector<std::uint64_t> handles;
  for (const auto &[handle, call] : ctx.S.Calls)
    if (call.Mode == CallMode::Reading)
      handles.push_back(handle);
  for (const std::uint64_t handle : handles)
    moveCall(ctx, ctx.S.Calls.at(handle));
}

} // namespace

void onLeave(Context &ctx, const Leave &leave) {
  if (ctx.S.Leaving && ctx.S.Leaving->By <= leave.By)
    return;
  LeavingState state = ctx.S.Leaving.value_or(LeavingState{});
  state.By = leave.By;
  const auto left =
      std::max(std::chrono::milliseconds(0),
               std::chrono::duration_cast<std::chrono::milliseconds>(leave.By - ctx.Time.Wall));
  // With short notice, half of the time is used for the handover.
  const auto margin = std::min(ctx.S.Settings.HandoverMargin, left / 2);
  state.HandoverAt = ctx.Time.Steady + left - margin;
  ctx.S.Leaving = state;
  applyMembershipEffects(ctx,
                         membership::announceLeaving(ctx.S.Members, leave.By, ctx.Time, ctx.Rng));
}

void tickLeaving(Context &ctx) {
  if (!ctx.S.Leaving)
    return;
  LeavingState &leaving = *ctx.S.Leaving;
  if (ctx.Time.Steady >= leaving.HandoverAt) {
    leaving.HandingOver = true;
    moveReaders(ctx);
    // The executions with the longest remaining time should be handed over first. That time is not
    // known, so those with the fewest tokens so far come first.
    std::vector<Execution *> order;
    for (auto &[key, execution] : ctx.S.Executions)
      if (execution.Record.Spec.Repeatable && execution.Phase != ExecutionPhase::Finishing)
        order.push_back(&execution);
    std::ranges::sort(order, {}, [](const Execution *it) { return it->Record.Tokens; });
    for (Execution *it : order)
      handOver(ctx, *it);
  }
  if (!leaving.StoppedSent && isDrained(ctx.S)) {
    leaving.StoppedSent = true;
    emit(ctx, Stopped{});
  }
}

void onHandoverReply(Context &ctx, const NodeId &from, const message::HandoverReply &reply) {
  const auto it = ctx.S.Executions.find(reply.Key);
  if (it == ctx.S.Executions.end() || it->second.HandoverTo != from ||
      it->second.Record.Run != reply.Run)
    return;
  if (!reply.Accepted) {
    it->second.HandoverDeadline = ctx.Time.Steady;
    return;
  }
  incrementCounter(ctx, "handed_over", "leaving");
  abandonExecution(ctx, it->second, from);
}

} // namespace chervil::node::detail
