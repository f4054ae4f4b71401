#include "node/Context.h"

#include <utility>

namespace chervil::node::detail {

void reportProgress(Context &ctx, Execution &execution) {
  const auto &record = execution.Record;
  execution.ReportDue = ctx.Time.Steady + ctx.S.Settings.ProgressPeriod;
  if (execution.Reported >= record.Answer.size())
    return;
  message::Progress progress;
  progress.Key = record.Key;
  progress.Run = record.Run;
  progress.Offset = execution.Reported;
  progress.Bytes = record.Answer.substr(execution.Reported);
  progress.Tokens = record.Tokens;
  execution.Reported = record.Answer.size();
  sendTo(ctx, execution.Holder, std::move(progress));
}

void reportEnd(Context &ctx, Execution &execution) {
  const auto &record = execution.Record;
  execution.RepeatDue = ctx.Time.Steady + ctx.S.Settings.ReplyTimeout;
  if (execution.Phase == ExecutionPhase::Closing) {
    sendTo(ctx, execution.Holder,
           message::Close{record.Key, record.BodyHash, record.Attempt, record.Run});
    return;
  }
  reportProgress(ctx, execution);
  message::Finish finish;
  finish.Key = record.Key;
  finish.Run = record.Run;
  finish.Code = record.Code;
  finish.Status = record.Status;
  finish.ContentType = record.ContentType;
  finish.TotalSize = record.Answer.size();
  finish.Tokens = record.Tokens;
  sendTo(ctx, execution.Holder, std::move(finish));
}

void registerExecution(Context &ctx, Execution &execution) {
  message::Submit submit;
  submit.Record = execution.Record;
  submit.Record.Executor = ctx.S.Self;
  submit.Record.State = message::RecordState::Running;
  const record::ShardView *shard = shardFor(ctx.S, execution.Record.Key);
  submit.Epoch = shard != nullptr ? shard->Epoch : 0;
  submit.Executing = true;
  submit.Fallback = execution.Fallback;
  submit.DataCentre = ctx.S.DataCentre;
  execution.Reported = execution.Record.Answer.size();
  execution.RegisteredRun = execution.Record.Run;
  sendTo(ctx, execution.Holder, std::move(submit));
}

void updateHolder(Context &ctx, Execution &execution) {
  const auto holder =
      holderFor(ctx.S, execution.Record.Key, execution.Record.Spec.Repeatable, false);
  if (!holder)
    return;
  if (holder->Node == execution.Holder) {
    // A fallback holder may have been promoted, or an owner may have lost its shard.
    execution.Fallback = holder->Fallback;
    return;
  }
  if (execution.Fallback && execution.Record.Spec.Repeatable)
    execution.FormerHolders.push_back({execution.Holder, execution.RegisteredRun});
  std::erase_if(execution.FormerHolders,
                [&](const FormerHolder &it) { return it.Node == holder->Node; });
  execution.Holder = holder->Node;
  execution.Fallback = holder->Fallback;
  incrementCounter(ctx, "reregistered", "owner_changed");
  // Nothing runs while the attempt is being closed, and the new owner may know it as closed.
  if (execution.Phase != ExecutionPhase::Closing)
    registerExecution(ctx, execution);
  if (execution.Phase == ExecutionPhase::Finishing || execution.Phase == ExecutionPhase::Closing)
    reportEnd(ctx, execution);
}

void releaseFormerHolders(Context &ctx, Execution &execution) {
  for (const FormerHolder &it : std::exchange(execution.FormerHolders, {})) {
    if (!isAlive(ctx.S, it.Node))
      continue;
    message::Finish finish;
    finish.Key = execution.Record.Key;
    finish.Run = it.Run;
    finish.Code = ResultCode::HandedOver;
    sendTo(ctx, it.Node, std::move(finish));
  }
}

} // namespace chervil::node::detail
