#include "base/Hash.h"
#include "base/Uuid.h"
#include "node/Context.h"

#include <algorithm>

namespace chervil::node::detail {

using message::SubmitDecision;
using message::SubmitReply;
using message::WorkKind;
using namespace std::chrono_literals;

namespace {

// Maximum length of an idempotency key in bytes.
constexpr std::size_t MaxKeyLength = 128;
// Maximum number of bearer tokens in the cache. A full cache is cleared as a whole, which is rare
// because real customers have few tokens.
constexpr std::size_t MaxCachedTokens = 10000;

/// Refuses a request for which no Call has been created.
void refuseWithoutCall(Context &ctx, std::uint64_t handle, const std::string &key,
                       ResultCode code) {
  incrementCounter(ctx, "refused", info(code).Name);
  emit(ctx, Refuse{handle, key, code, info(code).Result, 0ms, 0});
}

/// Returns the contract to which the token belongs, or null.
const Contract *authenticate(State &state, const std::string &token) {
  if (token.empty())
    return nullptr;
  if (const auto it = state.Tokens.find(token); it != state.Tokens.end()) {
    const auto contract = state.Contracts.find(it->second);
    return contract == state.Contracts.end() ? nullptr : &contract->second;
  }
  for (const auto &[customer, contract] : state.Contracts) {
    if (!acceptsToken(contract, token))
      continue;
    if (state.Tokens.size() >= MaxCachedTokens)
      state.Tokens.clear();
    state.Tokens.emplace(token, customer);
    return &contract;
  }
  return nullptr;
}

/// True for printable ASCII without spaces, up to MaxKeyLength; also for the empty key.
bool isValidKey(std::string_view key) {
  return key.size() <= MaxKeyLength &&
         std::ranges::all_of(key, [](char c) { return c > ' ' && c <= '~'; });
}

/// Sets the members of `spec` that the contract determines. Returns the code of the refusal if the
/// contract does not allow the request, otherwise Ok.
ResultCode applyTerms(const Contract &contract, message::RequestSpec &spec,
                      const Options &options) {
  spec.Priority = contract.Priority;
  if (spec.Kind == WorkKind::Model) {
    const ModelTerms *model = findModel(contract, spec.Target);
    if (model == nullptr)
      return ResultCode::UnknownModel;
    if (spec.MaxTokens == 0)
      spec.MaxTokens = model->DefaultMaxTokens;
    spec.Repeatable = true;
    return ResultCode::Ok;
  }
  const ServiceTerms *service = findService(contract, spec.Target);
  if (service == nullptr)
    return ResultCode::UnknownService;
  const CallTerms terms = callTerms(*service, spec.Method, spec.Path);
  spec.Target = service->Backends;
  spec.Repeatable = terms.Repeatable;
  spec.Timeout = std::chrono::duration_cast<std::chrono::milliseconds>(terms.Timeout);
  if (spec.Timeout.count() == 0)
    spec.Timeout = options.ServiceTimeout;
  return ResultCode::Ok;
}

std::uint64_t hashOfSpec(const message::RequestSpec &spec) {
  std::uint64_t hash = hashBytes(spec.Body, static_cast<std::uint64_t>(spec.Kind));
  for (const std::string *it : {&spec.Target, &spec.Method, &spec.Path})
    hash = hashBytes(*it, hash);
  return hash;
}

Call &addCall(State &state, Call call) {
  const std::uint64_t handle = call.Handle;
  state.CallsByKey[call.Key].push_back(handle);
  return state.Calls.emplace(handle, std::move(call)).first->second;
}

void sendSubmit(Context &ctx, Call &call, const Holder &holder) {
  message::Submit &request = call.Request;
  const record::ShardView *shard = shardFor(ctx.S, call.Key);
  request.Epoch = shard != nullptr ? shard->Epoch : 0;
  request.Fallback = holder.Fallback;
  request.DataCentre = ctx.S.DataCentre;
  call.AskedNode = holder.Node;
  call.AskedFallback = holder.Fallback;
  call.NextTry = ctx.Time.Steady + ctx.S.Settings.ReplyTimeout;
  sendTo(ctx, holder.Node, request);
}

/// Asks the holder of the key to accept the request, or schedules another try if there is none.
void submitToHolder(Context &ctx, Call &call) {
  const bool repeatable = call.Request.Record.Spec.Repeatable;
  const auto holder = holderFor(ctx.S, call.Key, repeatable, call.Unanswered > 0);
  if (holder) {
    sendSubmit(ctx, call, *holder);
    return;
  }
  call.AskedNode = {};
  call.NextTry = ctx.Time.Steady + ctx.S.Settings.RepeatDelay;
}

/// Asks the owner to close the attempt, or the standby if the owner did not answer.
void sendClose(Context &ctx, Call &call) {
  const record::ShardView *shard = shardFor(ctx.S, call.Key);
  const auto &record = call.Request.Record;
  call.NextTry = ctx.Time.Steady + ctx.S.Settings.ReplyTimeout;
  if (shard == nullptr)
    return;
  const bool owner = isSet(shard->Owner) && isAlive(ctx.S, shard->Owner) && !call.AskedStandby;
  const NodeId &to = owner ? shard->Owner : shard->Standby;
  call.AskedStandby = !owner;
  if (!isSet(to))
    return;
  call.AskedNode = to;
  sendTo(ctx, to, message::Close{record.Key, record.BodyHash, record.Attempt, 0});
}

/// Closes the attempt, after which the call is refused with `code`.
void startClosing(Context &ctx, Call &call, ResultCode code) {
  call.Mode = CallMode::Closing;
  call.RefuseCode = code;
  call.AskedStandby = false;
  call.Deadline = ctx.Time.Steady + ctx.S.Settings.SubmitTimeout;
  sendClose(ctx, call);
}

void retryLater(Context &ctx, Call &call) {
  call.AskedNode = {};
  call.NextTry = ctx.Time.Steady + ctx.S.Settings.RepeatDelay;
}

void onRefused(Context &ctx, Call &call, const SubmitReply &reply) {
  switch (reply.Code) {
  case ResultCode::StaleEpoch:
  case ResultCode::NoOwner:
  case ResultCode::NotReady:
    incrementCounter(ctx, "retry", info(reply.Code).Name);
    retryLater(ctx, call);
    return;
  case ResultCode::KeyTimeInFuture:
    // The owner has not stored the attempt, so it must be closed before the caller is told
    // "not_run".
    startClosing(ctx, call, reply.Code);
    return;
  default:
    refuseCall(ctx, call, reply.Code, reply.NextAttempt);
  }
}

/// Returns a grant for which no caller is waiting any more, so that the owner does not assume that
/// the request is running.
void declineGrant(Context &ctx, const NodeId &from, const SubmitReply &reply) {
  message::Finish finish;
  finish.Key = reply.Key;
  finish.Run = reply.Run;
  finish.Code = ResultCode::HandedOver;
  incrementCounter(ctx, "grant_declined", "no_caller");
  sendTo(ctx, from, finish);
}

void onGranted(Context &ctx, const NodeId &from, const SubmitReply &reply,
               const std::vector<std::uint64_t> &waiting) {
  const auto it = ctx.S.Executions.find(reply.Key);
  if (it != ctx.S.Executions.end()) {
    Execution &execution = it->second;
    if (execution.Holder == from)
      execution.Placement = reply.Placement;
    if (execution.Holder == from && execution.Record.Run == reply.Run)
      releaseFormerHolders(ctx, execution);
    for (const std::uint64_t handle : waiting)
      attachCall(ctx, ctx.S.Calls.at(handle), execution);
    return;
  }
  if (waiting.empty()) {
    declineGrant(ctx, from, reply);
    return;
  }
  Call &first = ctx.S.Calls.at(waiting.front());
  const bool repeatable = first.Request.Record.Spec.Repeatable;
  if (!repeatable && !consumeGrant(ctx.S.Grants, reply.Key, reply.Run, ctx.Time.Steady)) {
    incrementCounter(ctx, "grant_declined", "already_used");
    retryLater(ctx, first);
    return;
  }
  startExecution(ctx, first, reply, {from, first.AskedFallback});
  const auto started = ctx.S.Executions.find(reply.Key);
  for (std::size_t i = 1; i < waiting.size() && started != ctx.S.Executions.end(); ++i)
    attachCall(ctx, ctx.S.Calls.at(waiting[i]), started->second);
}

void onAttached(Context &ctx, const NodeId &from, const SubmitReply &reply,
                const std::vector<std::uint64_t> &waiting) {
  const auto it = ctx.S.Executions.find(reply.Key);
  // A node that kept the record for a while knows an earlier run only. Its word does not end a
  // later one.
  if (it != ctx.S.Executions.end() && it->second.Record.Run != reply.Run &&
      (it->second.Holder == from || it->second.Record.Run < reply.Run))
    abandonExecution(ctx, it->second, from);
  for (const std::uint64_t handle : waiting) {
    Call &call = ctx.S.Calls.at(handle);
    call.Replayed = true;
    // The tokens are charged to the call for which the request runs.
    settleCall(ctx, call, 0);
    startReading(ctx, call, from);
  }
}

void tickSubmitting(Context &ctx, Call &call) {
  const bool repeatable = call.Request.Record.Spec.Repeatable;
  if (ctx.Time.Steady >= call.Deadline && !repeatable) {
    startClosing(ctx, call, ResultCode::NoOwner);
    return;
  }
  if (ctx.Time.Steady >= call.Deadline && call.Unanswered > 1) {
    // No other node answers, so the request runs with this node's copy only; the answer states this
    // (Chervil-Copies).
    sendSubmit(ctx, call, {ctx.S.Self, true});
    return;
  }
  if (ctx.Time.Steady < call.NextTry)
    return;
  if (isSet(call.AskedNode)) {
    ++call.Unanswered;
    incrementCounter(ctx, "retry", "owner_unreachable");
  }
  submitToHolder(ctx, call);
}

void tickClosing(Context &ctx, Call &call) {
  if (ctx.Time.Steady >= call.Deadline) {
    refuseCall(ctx, call, ResultCode::OwnerUnreachable);
    return;
  }
  if (ctx.Time.Steady < call.NextTry)
    return;
  call.AskedStandby = !call.AskedStandby;
  sendClose(ctx, call);
}

} // namespace

void onCallerRequest(Context &ctx, CallerRequest request) {
  State &state = ctx.S;
  const Contract *contract = authenticate(state, request.Token);
  if (contract == nullptr) {
    // Without any contract, the node cannot decide whether a token is valid.
    refuseWithoutCall(ctx, request.Handle, request.Key,
                      state.Contracts.empty() ? ResultCode::NotReady
                                              : ResultCode::UnknownCustomerKey);
    return;
  }
  const ResultCode allowed = applyTerms(*contract, request.Spec, state.Settings);
  if (allowed != ResultCode::Ok || !isValidKey(request.Key)) {
    refuseWithoutCall(ctx, request.Handle, request.Key,
                      allowed != ResultCode::Ok ? allowed : ResultCode::KeyInvalid);
    return;
  }
  if (request.Key.empty())
    request.Key = makeUuid7(ctx.Time.Wall, ctx.Rng);
  Call call;
  call.Handle = request.Handle;
  call.Key = {contract->Customer, request.Key};
  call.PrefixHashes = std::move(request.PrefixHashes);
  call.PromptTokens = request.PromptTokens;
  call.Deadline = ctx.Time.Steady + state.Settings.SubmitTimeout;
  message::RecordCopy &record = call.Request.Record;
  record.Key = call.Key;
  record.Attempt = std::max(1U, request.Attempt);
  record.Spec = std::move(request.Spec);
  record.Spec.Hint = std::move(request.Hint);
  record.BodyHash = hashOfSpec(record.Spec);
  Call &added = addCall(state, std::move(call));
  // A drained node is about to stop and would interrupt a request that it accepted now.
  if (state.Leaving && (state.Leaving->HandingOver || state.Leaving->StoppedSent)) {
    refuseNotRun(ctx, added, ResultCode::NodeLeaving, 100ms);
    return;
  }
  const std::uint64_t content = added.Request.Record.BodyHash;
  if (retry::contentStatus(state.Quarantined, content, ctx.Time) ==
      retry::ContentStatus::Quarantined) {
    refuseNotRun(ctx, added, ResultCode::Quarantined);
    return;
  }
  if (admitCall(ctx, added, *contract))
    submitToHolder(ctx, added);
}

void refuseNotRun(Context &ctx, Call &call, ResultCode code, std::chrono::milliseconds retryAfter) {
  call.RetryAfter = retryAfter;
  if (call.Request.Record.Spec.Repeatable)
    refuseCall(ctx, call, code);
  else
    startClosing(ctx, call, code);
}

void onCallerFetch(Context &ctx, const CallerFetch &fetch) {
  const Contract *contract = authenticate(ctx.S, fetch.Token);
  if (contract == nullptr) {
    refuseWithoutCall(ctx, fetch.Handle, fetch.Key,
                      ctx.S.Contracts.empty() ? ResultCode::NotReady
                                              : ResultCode::UnknownCustomerKey);
    return;
  }
  if (fetch.Key.empty() || !isValidKey(fetch.Key)) {
    refuseWithoutCall(ctx, fetch.Handle, fetch.Key, ResultCode::KeyInvalid);
    return;
  }
  Call call;
  call.Handle = fetch.Handle;
  call.Key = {contract->Customer, fetch.Key};
  call.Offset = fetch.Offset;
  call.Replayed = true;
  call.Request.Record.Spec.Stream = fetch.Stream;
  Call &added = addCall(ctx.S, std::move(call));
  added.Deadline = ctx.Time.Steady + ctx.S.Settings.FetchTimeout;
  if (const auto it = ctx.S.Executions.find(added.Key);
      it != ctx.S.Executions.end() && fetch.Offset <= it->second.Record.Answer.size()) {
    attachCall(ctx, added, it->second);
    return;
  }
  startReading(ctx, added, {});
}

void onCallerDisconnected(Context &ctx, const CallerDisconnected &gone) {
  const auto it = ctx.S.Calls.find(gone.Handle);
  if (it == ctx.S.Calls.end())
    return;
  const Call &call = it->second;
  if (call.Mode == CallMode::Reading && call.Reader != 0)
    sendTo(ctx, call.Source, message::Fetch{call.Key, call.Offset, call.Reader, true});
  incrementCounter(ctx, "caller_gone", "disconnected");
  forgetCall(ctx, gone.Handle);
}

void onSubmitReply(Context &ctx, const NodeId &from, const SubmitReply &reply) {
  std::vector<std::uint64_t> waiting = waitingCalls(ctx.S, reply.Key);
  std::erase_if(waiting, [&](std::uint64_t handle) {
    return ctx.S.Calls.at(handle).Request.Record.Attempt != reply.Attempt;
  });
  switch (reply.Decision) {
  case SubmitDecision::Granted:
    onGranted(ctx, from, reply, waiting);
    return;
  case SubmitDecision::Attached:
    onAttached(ctx, from, reply, waiting);
    return;
  case SubmitDecision::Refused:
    for (const std::uint64_t handle : waiting) {
      Call &call = ctx.S.Calls.at(handle);
      if (call.AskedNode == from)
        onRefused(ctx, call, reply);
    }
  }
}

void onCloseReply(Context &ctx, const NodeId &from, const message::CloseReply &reply) {
  if (const auto it = ctx.S.Executions.find(reply.Key);
      it != ctx.S.Executions.end() && it->second.Phase == ExecutionPhase::Closing) {
    const Execution execution = std::move(it->second);
    ctx.S.Executions.erase(it);
    const bool closed = reply.Code == ResultCode::Ok;
    for (const std::uint64_t handle : execution.Callers)
      if (const auto call = ctx.S.Calls.find(handle); call != ctx.S.Calls.end())
        refuseCall(ctx, call->second, closed ? execution.Record.Code : ResultCode::OutcomeUnknown,
                   closed ? execution.Record.Attempt + 1 : 0);
    return;
  }
  const auto keyed = ctx.S.CallsByKey.find(reply.Key);
  if (keyed == ctx.S.CallsByKey.end())
    return;
  const std::vector<std::uint64_t> handles = keyed->second;
  for (const std::uint64_t handle : handles) {
    Call &call = ctx.S.Calls.at(handle);
    if (call.Mode != CallMode::Closing || call.AskedNode != from ||
        call.Request.Record.Attempt != reply.Attempt)
      continue;
    // The standby refuses to store the attempt from now on, but the owner may get another standby
    // that does not know of the close. Only a confirmation by the owner, which includes its
    // standby's, proves that the attempt did not run.
    if (reply.Code == ResultCode::Ok && call.AskedStandby)
      refuseCall(ctx, call, ResultCode::OwnerUnreachable);
    else if (reply.Code == ResultCode::Ok)
      refuseCall(ctx, call, call.RefuseCode, reply.Attempt + 1);
    else if (reply.Code == ResultCode::StaleEpoch || reply.Code == ResultCode::NotReady)
      call.NextTry = ctx.Time.Steady + ctx.S.Settings.RepeatDelay;
    else
      refuseCall(ctx, call, ResultCode::OutcomeUnknown);
  }
}

void tickCall(Context &ctx, Call &call) {
  switch (call.Mode) {
  case CallMode::Submitting:
    tickSubmitting(ctx, call);
    return;
  case CallMode::Closing:
    tickClosing(ctx, call);
    return;
  case CallMode::Reading:
    tickReading(ctx, call);
    return;
  case CallMode::Executing:
    return;
  }
}

} // namespace chervil::node::detail
