#include "node/Context.h"

#include "membership/Queries.h"
#include "retry/Backoff.h"

#include <algorithm>

namespace chervil::node::detail {
namespace {

// Maximum number of addresses offered to a caller that must continue at another node.
constexpr std::size_t MaxMovedAddresses = 4;

/// True for failures of back ends and spent retry budgets: they affect many callers at once, and
/// the time of recovery is not known.
bool isBackendFailure(ResultCode code) {
  return code == ResultCode::RetryBudgetSpent ||
         (code >= ResultCode::NoBackend && code <= ResultCode::BackendRefused);
}

/// Emits Begin unless the call has sent it before.
void begin(Context &ctx, Call &call) {
  if (call.Begun)
    return;
  call.Begun = true;
  emit(ctx, Begin{call.Handle, call.Key.Key, call.Request.Record.Spec.Target, call.Placement,
                  call.Replayed});
}

} // namespace

void forgetCall(Context &ctx, std::uint64_t handle) {
  const auto it = ctx.S.Calls.find(handle);
  if (it == ctx.S.Calls.end())
    return;
  Call &call = it->second;
  const auto run = ctx.S.Executions.find(call.Key);
  settleCall(ctx, call, run != ctx.S.Executions.end() ? run->second.Record.Tokens : 0);
  if (call.Reader != 0)
    ctx.S.Readers.erase(call.Reader);
  if (const auto keyed = ctx.S.CallsByKey.find(call.Key); keyed != ctx.S.CallsByKey.end()) {
    std::erase(keyed->second, handle);
    if (keyed->second.empty())
      ctx.S.CallsByKey.erase(keyed);
  }
  if (run != ctx.S.Executions.end())
    std::erase(run->second.Callers, handle);
  ctx.S.Calls.erase(it);
}

void finishCall(Context &ctx, Call &call, std::uint16_t status, const std::string &contentType,
                std::uint32_t tokens) {
  begin(ctx, call);
  settleCall(ctx, call, tokens);
  emit(ctx, Finish{call.Handle, status, contentType, tokens});
  forgetCall(ctx, call.Handle);
}

void refuseCall(Context &ctx, Call &call, ResultCode code, std::uint32_t nextAttempt) {
  const ResultCodeInfo &details = info(code);
  if (details.Retry && call.RetryAfter.count() == 0 && isBackendFailure(code))
    call.RetryAfter =
        std::chrono::ceil<std::chrono::milliseconds>(retry::randomRetryAfter(ctx.Rng));
  incrementCounter(ctx, "refused", details.Name);
  const Outcome outcome =
      call.MayHaveRun && details.Result == Outcome::NotRun ? Outcome::Unknown : details.Result;
  emit(ctx, Refuse{call.Handle, call.Key.Key, code, outcome, call.RetryAfter, nextAttempt});
  forgetCall(ctx, call.Handle);
}

void moveCall(Context &ctx, Call &call) {
  Moved moved{call.Handle, call.Key.Key, call.Offset, {}};
  for (const membership::Member *it :
       membership::entryList(ctx.S.Members, call.Key.Key, MaxMovedAddresses))
    if (it->Info.Id != ctx.S.Self)
      moved.Addresses.push_back(it->Info.CallerAddress);
  incrementCounter(ctx, "moved", "leaving");
  emit(ctx, std::move(moved));
  forgetCall(ctx, call.Handle);
}

void deliver(Context &ctx, Call &call, std::uint64_t offset, std::string_view bytes) {
  if (offset > call.Offset) {
    reportViolation(ctx, Invariant::AnswerInOrder, "gap in the answer of " + call.Key.Key);
    return;
  }
  const std::uint64_t skip = call.Offset - offset;
  if (skip >= bytes.size())
    return;
  begin(ctx, call);
  emit(ctx, Bytes{call.Handle, call.Offset, std::string(bytes.substr(skip))});
  call.Offset += bytes.size() - skip;
}

std::vector<std::uint64_t> waitingCalls(const State &state, const RequestKey &key) {
  std::vector<std::uint64_t> handles;
  const auto it = state.CallsByKey.find(key);
  if (it == state.CallsByKey.end())
    return handles;
  for (const std::uint64_t handle : it->second)
    if (state.Calls.at(handle).Mode == CallMode::Submitting)
      handles.push_back(handle);
  return handles;
}

} // namespace chervil::node::detail
