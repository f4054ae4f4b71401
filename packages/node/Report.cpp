#include "node/Context.h"

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
  sendTo(ctx, execution.Holder, std::move(submit));
}

void updateHolder(Context &ctx, Execution &execution) {
  const auto holder =
      holderFor(ctx.S, execution.Record.Key, execution.Record.Spec.Repeatable, false);
  if (!holder || holder->Node == execution.Holder)
    return;
  const NodeId former = execution.Holder;
  const bool wasFallback = execution.Fallback;
  execution.Holder = holder->Node;
  execution.Fallback = holder->Fallback;
  incrementCounter(ctx, "reregistered", "owner_changed");
  // Nothing runs while the attempt is being closed, and the new owner may know it as closed.
  if (execution.Phase != ExecutionPhase::Closing)
    registerExecution(ctx, execution);
  if (execution.Phase == ExecutionPhase::Finishing || execution.Phase == ExecutionPhase::Closing)
    reportEnd(ctx, execution);
  if (!wasFallback || !execution.Record.Spec.Repeatable || !isAlive(ctx.S, former))
    return;
  // The fallback holder no longer needs to keep the record.
  message::Finish finish;
  finish.Key = execution.Record.Key;
  finish.Run = execution.Record.Run;
  finish.Code = ResultCode::HandedOver;
  sendTo(ctx, former, std::move(finish));
}

} // namespace chervil::node::detail
