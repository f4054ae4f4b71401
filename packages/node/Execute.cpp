#include "node/Context.h"
#include "retry/Backoff.h"

#include <algorithm>
#include <string>

namespace chervil::node::detail {

using message::RecordState;
using message::WorkKind;
using namespace std::chrono_literals;

namespace {

// Number of failed calls to back ends after which a request is given up.
constexpr std::uint32_t MaxBackendFailures = 12;

routing::WorkRequest workOf(const Execution &execution) {
  const auto &spec = execution.Record.Spec;
  routing::WorkRequest work;
  work.Customer = execution.Record.Key.Customer;
  work.Kind = spec.Kind == WorkKind::Model ? spec.Hint : spec.Path;
  work.TargetKind = spec.Kind;
  work.Target = spec.Target;
  work.PrefixHashes = execution.PrefixHashes;
  work.PromptTokens = execution.PromptTokens + execution.Record.Tokens;
  work.MaxTokens = spec.MaxTokens;
  work.Priority = spec.Priority;
  work.Repeatable = spec.Repeatable;
  work.Avoid = execution.Avoid;
  work.Suspect = execution.Suspect;
  return work;
}

/// Returns the execution whose current call is `backendCall`, or null.
Execution *executionOf(Context &ctx, std::uint64_t backendCall) {
  const auto key = ctx.S.BackendCalls.find(backendCall);
  if (key == ctx.S.BackendCalls.end())
    return nullptr;
  const auto it = ctx.S.Executions.find(key->second);
  return it != ctx.S.Executions.end() && it->second.BackendCall == backendCall ? &it->second
                                                                               : nullptr;
}

void endBackendCall(Context &ctx, Execution &execution) {
  ctx.S.BackendCalls.erase(execution.BackendCall);
  execution.BackendCall = 0;
}

/// Ends an execution with an answer (Ok) or with a failure, and tells its holder and callers.
void endExecution(Context &ctx, Execution &execution, ResultCode code) {
  execution.Record.Code = code;
  execution.Phase = ExecutionPhase::Finishing;
  reportEnd(ctx, execution);
  const std::vector<std::uint64_t> callers = execution.Callers;
  for (const std::uint64_t handle : callers) {
    const auto it = ctx.S.Calls.find(handle);
    if (it == ctx.S.Calls.end())
      continue;
    const auto &record = execution.Record;
    if (code == ResultCode::Ok)
      finishCall(ctx, it->second, record.Status, record.ContentType, record.Tokens);
    else
      refuseCall(ctx, it->second, code);
  }
  execution.Callers.clear();
}

/// Ends an execution whose request did not run. The attempt of a non-repeatable request is closed
/// before the callers are told.
void endNotRun(Context &ctx, Execution &execution, ResultCode code) {
  if (execution.Record.Spec.Repeatable) {
    endExecution(ctx, execution, code);
    return;
  }
  execution.Record.Code = code;
  execution.Phase = ExecutionPhase::Closing;
  reportEnd(ctx, execution);
}

void callBackend(Context &ctx, Execution &execution, const routing::Choice &choice) {
  const auto &record = execution.Record;
  if (!record.Spec.Repeatable && execution.Sent) {
    reportViolation(ctx, Invariant::AtMostOneSend, record.Key.Key);
    return;
  }
  execution.Phase = ExecutionPhase::Calling;
  execution.Sent = true;
  execution.BackendLeaving = false;
  execution.Backend = choice.Backend;
  execution.Address = choice.Address;
  execution.BackendCall = ctx.S.NextBackendCall++;
  ctx.S.BackendCalls.emplace(execution.BackendCall, record.Key);
  CallBackend call;
  call.Call = execution.BackendCall;
  call.Backend = choice.Backend;
  call.Address = choice.Address;
  call.Spec = record.Spec;
  call.Key = record.Key.Key;
  // The engine's request identifier must differ between runs, because the engine may not have ended
  // an earlier run yet.
  call.RequestId = record.Key.Customer + "/" + record.Key.Key + "/" + std::to_string(record.Run) +
                   "." + std::to_string(execution.BackendCall);
  if (record.Spec.Kind == WorkKind::Model) {
    call.Continuation = record.Answer;
    call.ContinuationTokens = record.Tokens;
    call.KvHandle = std::move(execution.KvHandle);
    execution.KvHandle.clear();
  }
  call.Priority = choice.EnginePriority;
  call.Timeout = record.Spec.Timeout;
  routing::requestStarted(ctx.S.Routes, execution.BackendCall, workOf(execution), choice.Backend,
                          ctx.Time);
  emit(ctx, std::move(call));
}

routing::Failure toRoutingFailure(BackendFailure failure) {
  switch (failure) {
  case BackendFailure::NotSent:
    return routing::Failure::Connect;
  case BackendFailure::Timeout:
    return routing::Failure::Timeout;
  case BackendFailure::Refused:
  case BackendFailure::Rejected:
    return routing::Failure::Refused;
  case BackendFailure::Died:
  case BackendFailure::None:
    break;
  }
  return routing::Failure::Died;
}

ResultCode codeOf(BackendFailure failure) {
  switch (failure) {
  case BackendFailure::NotSent:
    return ResultCode::BackendConnectFailed;
  case BackendFailure::Timeout:
    return ResultCode::BackendTimeout;
  case BackendFailure::Refused:
    return ResultCode::BackendRefused;
  case BackendFailure::Rejected:
    return ResultCode::BadRequest;
  case BackendFailure::Died:
  case BackendFailure::None:
    break;
  }
  return ResultCode::BackendDied;
}

void scheduleRetry(Context &ctx, Execution &execution, BackendFailure failure) {
  const auto failed = std::ranges::find(execution.Avoid, execution.Backend);
  if (failed == execution.Avoid.end())
    execution.Avoid.push_back(execution.Backend);
  ++execution.Failures;
  incrementCounter(ctx, "retry", info(codeOf(failure)).Name);
  execution.Phase = ExecutionPhase::Choosing;
  execution.LastFailure = codeOf(failure);
  execution.NeedsBudget = true;
  execution.NextTry = ctx.Time.Steady + retry::nextDelay(execution.Backoff, ctx.Rng);
  if (execution.Failures == 1)
    execution.ChooseDeadline = ctx.Time.Steady + ctx.S.Settings.BackendWait;
}

void onFailed(Context &ctx, Execution &execution, BackendFailure failure) {
  const bool repeatable = execution.Record.Spec.Repeatable;
  if (failure == BackendFailure::Rejected) {
    endNotRun(ctx, execution, ResultCode::BadRequest);
    return;
  }
  if (failure == BackendFailure::NotSent || failure == BackendFailure::Refused)
    execution.Sent = false;
  if (!repeatable && execution.Sent) {
    endExecution(ctx, execution, codeOf(failure));
    return;
  }
  if (execution.Failures >= MaxBackendFailures) {
    if (execution.Sent)
      endExecution(ctx, execution, codeOf(failure));
    else
      endNotRun(ctx, execution, codeOf(failure));
    return;
  }
  scheduleRetry(ctx, execution, failure);
}

/// Ends an execution whose content is quarantined because back ends died while running it. Earlier
/// runs of this request may have been among the causes.
void endQuarantined(Context &ctx, Execution &execution) {
  if (execution.Failures == 0 && execution.Record.Answer.empty()) {
    endNotRun(ctx, execution, ResultCode::Quarantined);
    return;
  }
  for (const std::uint64_t handle : execution.Callers)
    if (const auto it = ctx.S.Calls.find(handle); it != ctx.S.Calls.end())
      it->second.MayHaveRun = true;
  if (execution.Record.Spec.Repeatable)
    endExecution(ctx, execution, ResultCode::Quarantined);
  else
    endNotRun(ctx, execution, ResultCode::Quarantined);
}

/// Takes a retry from the budgets if the next call needs one. Returns false if the budgets are
/// spent: a repeatable request then waits until its deadline, because an early refusal would only
/// move the retry to the caller; a non-repeatable request, which has not run, is refused.
bool mayRetry(Context &ctx, Execution &execution) {
  if (!execution.NeedsBudget ||
      retry::tryAcquireRetry(ctx.S.RetryBudgets, execution.Record.Key.Customer, ctx.Time)) {
    execution.NeedsBudget = false;
    return true;
  }
  incrementCounter(ctx, "retry_delayed", info(ResultCode::RetryBudgetSpent).Name);
  if (!execution.Record.Spec.Repeatable)
    endNotRun(ctx, execution, execution.LastFailure);
  else if (ctx.Time.Steady >= execution.ChooseDeadline)
    endExecution(ctx, execution, ResultCode::RetryBudgetSpent);
  else
    execution.NextTry = ctx.Time.Steady + retry::nextDelay(execution.Backoff, ctx.Rng);
  return false;
}

/// Returns what routing needs to isolate the content from the other suspects of the same crash;
/// nullopt if the content is not a suspect.
std::optional<routing::Suspicion> suspicionOf(const Context &ctx, std::uint64_t content) {
  // Deaths within this time may be reports of the same crash: all nodes notice the end of a back
  // end within the connection time-out.
  constexpr Duration oneCrash = 2s;
  const auto crash = retry::lastCrash(ctx.S.Quarantined, content, ctx.Time);
  if (!crash)
    return std::nullopt;
  routing::Suspicion suspicion{content, *crash, {}};
  for (const std::uint64_t it :
       retry::suspectsOfCrash(ctx.S.Quarantined, *crash, oneCrash, ctx.Time))
    if (it < content)
      suspicion.Ahead.push_back(it);
  return suspicion;
}

} // namespace

void attachCall(Context &ctx, Call &call, Execution &execution) {
  call.Mode = CallMode::Executing;
  // The execution has its own copy of the body; a second one would double the memory for an open
  // stream.
  call.Request.Record.Spec.Body = {};
  call.Placement = execution.Placement;
  if (std::ranges::find(execution.Callers, call.Handle) == execution.Callers.end())
    execution.Callers.push_back(call.Handle);
  deliver(ctx, call, 0, execution.Record.Answer);
  if (execution.Phase != ExecutionPhase::Finishing)
    return;
  const auto &record = execution.Record;
  if (record.Code == ResultCode::Ok)
    finishCall(ctx, call, record.Status, record.ContentType, record.Tokens);
  else
    refuseCall(ctx, call, record.Code);
}

void startExecution(Context &ctx, Call &call, const message::SubmitReply &reply,
                    const Holder &holder) {
  Execution execution;
  execution.Record = call.Request.Record;
  execution.Record.Run = reply.Run;
  execution.Record.State = RecordState::Running;
  execution.Record.Executor = ctx.S.Self;
  execution.PrefixHashes = call.PrefixHashes;
  execution.PromptTokens = call.PromptTokens;
  execution.Holder = holder.Node;
  execution.Fallback = holder.Fallback;
  execution.RegisteredRun = reply.Run;
  execution.Placement = reply.Placement;
  if (holder.Node == ctx.S.Self && holder.Fallback)
    execution.Placement = message::CopyPlacement::Local;
  execution.ChooseDeadline = ctx.Time.Steady + ctx.S.Settings.BackendWait;
  const RequestKey key = call.Key;
  Execution &added = ctx.S.Executions.emplace(key, std::move(execution)).first->second;
  attachCall(ctx, call, added);
  chooseBackend(ctx, added);
}

void startTakeover(Context &ctx, message::RecordCopy record) {
  const RequestKey key = record.Key;
  if (const auto it = ctx.S.Executions.find(key); it != ctx.S.Executions.end()) {
    // This node already runs the request under an earlier run number and continues with that
    // execution.
    it->second.Record.Run = std::max(it->second.Record.Run, record.Run);
    return;
  }
  Execution execution;
  execution.Record = std::move(record);
  execution.Holder = ctx.S.Self;
  const record::ShardView *shard = shardFor(ctx.S, key);
  execution.Fallback = shard == nullptr || shard->LocalRole != record::Role::Owner;
  execution.RegisteredRun = execution.Record.Run;
  execution.Reported = execution.Record.Answer.size();
  execution.ChooseDeadline = ctx.Time.Steady + ctx.S.Settings.BackendWait;
  incrementCounter(ctx, "takeover", "executor_lost");
  Execution &added = ctx.S.Executions.emplace(key, std::move(execution)).first->second;
  chooseBackend(ctx, added);
}

void chooseBackend(Context &ctx, Execution &execution) {
  const retry::ContentStatus status =
      retry::contentStatus(ctx.S.Quarantined, execution.Record.BodyHash, ctx.Time);
  if (status == retry::ContentStatus::Quarantined) {
    endQuarantined(ctx, execution);
    return;
  }
  execution.Suspect = status == retry::ContentStatus::Suspect
                          ? suspicionOf(ctx, execution.Record.BodyHash)
                          : std::nullopt;
  const routing::ChoiceResult choice =
      routing::choose(ctx.S.Routes, workOf(execution), ctx.Time, ctx.Rng);
  if (choice && choice->Wait.count() == 0) {
    if (!mayRetry(ctx, execution))
      return;
    callBackend(ctx, execution, *choice);
    return;
  }
  execution.Phase = ExecutionPhase::Choosing;
  execution.NextTry =
      ctx.Time.Steady + (choice ? choice->Wait : Duration(ctx.S.Settings.RepeatDelay));
  if (choice)
    return;
  // No other back end is available, so those that failed before may be tried again.
  execution.Avoid.clear();
  if (ctx.Time.Steady < execution.ChooseDeadline)
    return;
  if (execution.Record.Answer.empty())
    endNotRun(ctx, execution, choice.error());
  else
    endExecution(ctx, execution, ResultCode::BackendDied);
}

void onBackendHead(Context &ctx, const BackendHead &head) {
  Execution *execution = executionOf(ctx, head.Call);
  if (execution == nullptr)
    return;
  execution->Record.Status = head.Status;
  execution->Record.ContentType = head.ContentType;
}

void onBackendBytes(Context &ctx, const BackendBytes &bytes) {
  Execution *execution = executionOf(ctx, bytes.Call);
  if (execution == nullptr)
    return;
  routing::requestTokens(ctx.S.Routes, bytes.Call, bytes.Tokens, ctx.Time);
  auto &record = execution->Record;
  const std::uint64_t offset = record.Answer.size();
  record.Answer += bytes.Bytes;
  record.Tokens += bytes.Tokens;
  for (const std::uint64_t handle : execution->Callers)
    if (const auto it = ctx.S.Calls.find(handle); it != ctx.S.Calls.end())
      deliver(ctx, it->second, offset, bytes.Bytes);
  if (record.Answer.size() - execution->Reported >= ctx.S.Settings.ProgressBytes)
    reportProgress(ctx, *execution);
}

void onBackendEnd(Context &ctx, const BackendEnd &end) {
  Execution *execution = executionOf(ctx, end.Call);
  if (execution == nullptr)
    return;
  endBackendCall(ctx, *execution);
  if (end.Failure == BackendFailure::None) {
    routing::requestFinished(ctx.S.Routes, end.Call, ctx.Time);
    if (end.Status != 0)
      execution->Record.Status = end.Status;
    endExecution(ctx, *execution, ResultCode::Ok);
    return;
  }
  routing::requestFailed(ctx.S.Routes, end.Call, toRoutingFailure(end.Failure), ctx.Time);
  if (end.Failure == BackendFailure::Died && !execution->BackendLeaving)
    recordCrash(ctx, execution->Record.BodyHash, execution->Backend,
                execution->Suspect.has_value());
  // A partial body of a service cannot be continued by another call.
  if (execution->Record.Spec.Kind == WorkKind::Service)
    execution->Record.Answer.resize(0);
  onFailed(ctx, *execution, end.Failure);
}

void onKvExported(Context &ctx, const KvExported &exported) {
  Execution *execution = executionOf(ctx, exported.Call);
  if (execution == nullptr || execution->Phase != ExecutionPhase::Exporting)
    return;
  emit(ctx, CancelBackend{execution->BackendCall});
  routing::requestFailed(ctx.S.Routes, execution->BackendCall, routing::Failure::Cancelled,
                         ctx.Time);
  endBackendCall(ctx, *execution);
  execution->KvHandle = exported.Handle;
  execution->ChooseDeadline = ctx.Time.Steady + ctx.S.Settings.BackendWait;
  chooseBackend(ctx, *execution);
}

void migrateFromBackend(Context &ctx, const std::string &backend, TimePoint) {
  // Streams continue from their tokens on another engine. They are moved at once, because the
  // export takes part of the time that is left.
  for (auto &[key, execution] : ctx.S.Executions) {
    execution.BackendLeaving |= execution.BackendCall != 0 && execution.Backend == backend;
    if (execution.Backend != backend || execution.Phase != ExecutionPhase::Calling ||
        execution.Record.Spec.Kind != WorkKind::Model)
      continue;
    incrementCounter(ctx, "migrated", "back_end_leaving");
    execution.Phase = ExecutionPhase::Exporting;
    execution.NextTry = ctx.Time.Steady + ctx.S.Settings.HandoverTimeout;
    // The same identifier as in callBackend().
    emit(ctx, ExportKv{execution.BackendCall, execution.Address,
                       key.Customer + "/" + key.Key + "/" + std::to_string(execution.Record.Run) +
                           "." + std::to_string(execution.BackendCall)});
  }
}

void abandonExecution(Context &ctx, Execution &execution, const NodeId &source) {
  if (execution.BackendCall != 0) {
    emit(ctx, CancelBackend{execution.BackendCall});
    routing::requestFailed(ctx.S.Routes, execution.BackendCall, routing::Failure::Cancelled,
                           ctx.Time);
    endBackendCall(ctx, execution);
  }
  releaseFormerHolders(ctx, execution);
  const std::vector<std::uint64_t> callers = std::move(execution.Callers);
  const RequestKey key = execution.Record.Key;
  ctx.S.Executions.erase(key);
  for (const std::uint64_t handle : callers) {
    const auto it = ctx.S.Calls.find(handle);
    if (it == ctx.S.Calls.end())
      continue;
    if (ctx.S.Leaving && ctx.S.Leaving->HandingOver)
      moveCall(ctx, it->second);
    else
      startReading(ctx, it->second, source);
  }
}

void onFinishReply(Context &ctx, const NodeId &from, const message::FinishReply &reply) {
  const auto it = ctx.S.Executions.find(reply.Key);
  if (it == ctx.S.Executions.end() || it->second.Phase != ExecutionPhase::Finishing ||
      it->second.Holder != from || it->second.Record.Run != reply.Run)
    return;
  releaseFormerHolders(ctx, it->second);
  ctx.S.Executions.erase(it);
}

void tickExecution(Context &ctx, Execution &execution) {
  const TimePoint now = ctx.Time.Steady;
  if (execution.RegisterDue != TimePoint{} && now >= execution.RegisterDue) {
    execution.RegisterDue = {};
    if (execution.Phase != ExecutionPhase::Closing)
      registerExecution(ctx, execution);
  }
  switch (execution.Phase) {
  case ExecutionPhase::Choosing:
    if (now >= execution.NextTry)
      chooseBackend(ctx, execution);
    return;
  case ExecutionPhase::Exporting:
    if (now >= execution.NextTry)
      onKvExported(ctx, {execution.BackendCall, {}});
    return;
  case ExecutionPhase::Calling:
    if (execution.Reported < execution.Record.Answer.size() && now >= execution.ReportDue)
      reportProgress(ctx, execution);
    return;
  case ExecutionPhase::Finishing:
  case ExecutionPhase::Closing:
    if (now >= execution.RepeatDue) {
      if (execution.Phase == ExecutionPhase::Finishing)
        registerExecution(ctx, execution);
      reportEnd(ctx, execution);
    }
  }
}

} // namespace chervil::node::detail
