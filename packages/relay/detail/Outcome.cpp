#include "relay/detail/Outcome.h"

#include "relay/detail/Dispatch.h"

namespace chervil::relay::detail {
namespace {

constexpr int NotRunStatus = 503;
constexpr int LimitStatus = 429;
constexpr int UnknownStatus = 502;
constexpr int TimeoutStatus = 504;

std::string millis(Duration d) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

void refuseWithStatus(Context &ctx, ActiveRequest &request, ResultCode code, int status,
                      std::chrono::milliseconds retryAfter) {
  const char *reason = chervil::info(code).Name;
  ctx.Out.push_back(IncrementCounter{"refused", reason});
  logRequest(ctx, request, request.Stage == Stage::Streaming ? "aborted" : "refused",
             {{"reason", reason}, {"status", std::to_string(status)}});
  endCall(ctx, request, true);
  if (request.Stage == Stage::Streaming)
    ctx.Out.push_back(AbortStream{request.Id});
  else
    ctx.Out.push_back(Refuse{request.Id, code, status, retryAfter});
  removeRequest(ctx, request);
}

} // namespace

void logRequest(Context &ctx, const ActiveRequest &request, const char *event, LogFields values) {
  values.emplace_back("route", request.Route->Name);
  values.emplace_back("workspace", request.Workspace);
  values.emplace_back("backend", request.Backend);
  values.emplace_back("runs", std::to_string(request.PossibleRuns));
  values.emplace_back("sends", std::to_string(request.TriedServers.size()));
  if (request.FirstByte != TimePoint{})
    values.emplace_back("first_byte_ms", millis(request.FirstByte - request.Arrived));
  if (const auto part = sharedPrefixHash(request.Info.Prompt)) {
    values.emplace_back("shared_part", std::to_string(*part));
    values.emplace_back("shared_tokens", std::to_string(sharedPrefixTokens(request.Info.Prompt)));
    values.emplace_back("prompt_tokens", std::to_string(request.Info.PromptTokens));
  }
  values.emplace_back("age_ms", millis(ctx.Time.Steady - request.Arrived));
  values.emplace_back("left_ms", millis(request.Deadline - ctx.Time.Steady));
  values.emplace_back("config", std::to_string(request.Configuration->Version));
  ctx.Out.push_back(LogRecord{event, request.Info.AttemptId, std::move(values)});
}

void refuse(Context &ctx, ActiveRequest &request, ResultCode code,
            std::chrono::milliseconds retryAfter) {
  const bool isLimit = code == ResultCode::LimitTokens || code == ResultCode::LimitRequests;
  const int status = request.PossibleRuns > 0 ? UnknownStatus
                     : isLimit                ? LimitStatus
                                              : NotRunStatus;
  refuseWithStatus(ctx, request, code, status,
                   request.PossibleRuns > 0 ? std::chrono::milliseconds{0} : retryAfter);
}

void refuseTimedOut(Context &ctx, ActiveRequest &request) {
  // A call under way may have begun to run.
  if (request.Call != 0)
    ++request.PossibleRuns;
  const bool mayHaveRun = request.PossibleRuns > 0;
  refuseWithStatus(ctx, request,
                   mayHaveRun ? ResultCode::BackendTimeout : ResultCode::DeadlineUnreachable,
                   mayHaveRun ? TimeoutStatus : NotRunStatus, std::chrono::milliseconds{0});
}

void forwardAnswer(Context &ctx, ActiveRequest &request) {
  ctx.Out.push_back(
      IncrementCounter{"answered", request.Status < 400 ? "success" : "backend_failure"});
  logRequest(ctx, request, "answered", {{"status", std::to_string(request.Status)}});
  ctx.Out.push_back(ForwardAnswer{request.Id, request.Call, std::move(request.Body)});
  endCall(ctx, request, false);
  removeRequest(ctx, request);
}

void completeStream(Context &ctx, ActiveRequest &request) {
  ctx.Out.push_back(IncrementCounter{"answered", "stream"});
  logRequest(ctx, request, "answered", {{"status", std::to_string(request.Status)}});
  ctx.Out.push_back(EndStream{request.Id});
  endCall(ctx, request, false);
  removeRequest(ctx, request);
}

void removeRequest(Context &ctx, ActiveRequest &request) {
  if (!request.Workspace.empty()) {
    const auto it = ctx.S.Accounts.find(request.Workspace);
    if (it != ctx.S.Accounts.end()) {
      limits::forget(it->second, request.Id);
      if (request.Stage != Stage::WaitingForTokens && request.PossibleRuns == 0 && request.Cost > 0)
        limits::giveBack(it->second, request.Cost);
    }
  }
  ctx.S.ActiveRequests.erase(request.Id);
}

} // namespace chervil::relay::detail
