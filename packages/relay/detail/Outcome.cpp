#include "relay/detail/Outcome.h"

#include "relay/detail/Dispatch.h"

#include <array>
#include <charconv>
#include <utility>

namespace chervil::relay::detail {
namespace {

// Status of a refused request that did not run.
constexpr int NotRunStatus = 503;
// Status of a request refused by a rate limit, which did not run either.
constexpr int LimitStatus = 429;
// Status of a failed request that may have run.
constexpr int UnknownStatus = 502;
// Status of a request that timed out and may have run.
constexpr int TimeoutStatus = 504;

void cancelCalls(Context &ctx, ActiveRequest &request) {
  cancelCall(ctx, request);
  cancelSilentCall(ctx, request);
}

/// Refuses a request whose calls have ended.
void refuseWithStatus(Context &ctx, ActiveRequest &request, ResultCode code, int status,
                      std::chrono::milliseconds retryAfter) {
  const char *reason = chervil::info(code).Name;
  ctx.Out.push_back(IncrementCounter{"refused", reason});
  logRequest(ctx, request, request.Stage == Stage::Streaming ? "aborted" : "refused",
             {{"reason", reason}, {"status", std::to_string(status)}});
  if (request.Stage == Stage::Streaming)
    ctx.Out.push_back(AbortStream{request.Id});
  else
    ctx.Out.push_back(Refuse{request.Id, code, status, retryAfter});
  removeRequest(ctx, request);
}

std::string formatFixed(double value, int digits) {
  std::array<char, 32> text{};
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, digits)
          .ptr;
  return {text.data(), end};
}

/// Appends the estimates by which the server of a late request was chosen.
void appendFigures(const ActiveRequest &request, LogFields &fields) {
  const ChoiceFigures &it = request.Call.Figures;
  const bool isLate = request.FirstByte != TimePoint{} &&
                      request.FirstByte - request.Arrived > request.Route->Target;
  if (!isLate || it.Candidates == 0)
    return;
  fields.emplace_back("choice_wait_tokens", formatFixed(it.Wait, 0));
  fields.emplace_back("choice_tokens_before", formatFixed(it.TokensBefore, 0));
  fields.emplace_back("choice_certain", formatFixed(it.CertainPart, 2));
  fields.emplace_back("choice_speed_factor", formatFixed(it.Speed.Factor, 2));
  fields.emplace_back("choice_speed_error", formatFixed(it.Speed.Error, 2));
  fields.emplace_back("choice_report_age_ms", formatMillis(it.ReportAge));
  fields.emplace_back("choice_sent_since", formatFixed(it.SentSinceReports, 0));
  fields.emplace_back("choice_candidates", std::to_string(it.Candidates));
}

} // namespace

void logDeparture(Effects &out, const message::BackendDeparture &departure, const char *source) {
  out.push_back(IncrementCounter{"backend_leaving", toString(departure.Kind)});
  out.push_back(LogRecord{"backend_leaving",
                          "",
                          {{"backend", departure.Backend},
                           {"born", std::to_string(departure.Born)},
                           {"kind", toString(departure.Kind)},
                           {"source", source},
                           {"origin", departure.Source},
                           {"age_ms", std::to_string(departure.Age.count())},
                           {"era", std::to_string(departure.Era)},
                           {"revision", std::to_string(departure.Revision)}}});
}

std::string formatMillis(Duration d) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

void logRequest(Context &ctx, const ActiveRequest &request, const char *event, LogFields fields) {
  fields.emplace_back("route", request.Route->Name);
  fields.emplace_back("workspace", request.Workspace);
  fields.emplace_back("backend", request.Call.Backend);
  fields.emplace_back("runs", std::to_string(request.PossibleRuns));
  fields.emplace_back("sends", std::to_string(request.TriedServers.size()));
  if (request.FirstByte != TimePoint{})
    fields.emplace_back("first_byte_ms", formatMillis(request.FirstByte - request.Arrived));
  if (const auto part = sharedPrefixHash(request.Info.Prompt)) {
    fields.emplace_back("shared_part", std::to_string(*part));
    fields.emplace_back("shared_tokens", std::to_string(sharedPrefixTokens(request.Info.Prompt)));
    fields.emplace_back("prompt_tokens", std::to_string(request.Info.PromptTokens));
  }
  appendFigures(request, fields);
  fields.emplace_back("age_ms", formatMillis(ctx.Time.Steady - request.Arrived));
  fields.emplace_back("left_ms", formatMillis(request.Deadline - ctx.Time.Steady));
  fields.emplace_back("config", std::to_string(request.Configuration->Version));
  ctx.Out.push_back(LogRecord{event, request.Info.AttemptId, std::move(fields)});
}

void refuse(Context &ctx, ActiveRequest &request, ResultCode code,
            std::chrono::milliseconds retryAfter) {
  cancelCalls(ctx, request);
  const bool isLimit = code == ResultCode::LimitTokens || code == ResultCode::LimitRequests;
  const int status = request.PossibleRuns > 0 ? UnknownStatus
                     : isLimit                ? LimitStatus
                                              : NotRunStatus;
  refuseWithStatus(ctx, request, code, status,
                   request.PossibleRuns > 0 ? std::chrono::milliseconds{0} : retryAfter);
}

void refuseTimedOut(Context &ctx, ActiveRequest &request) {
  cancelCalls(ctx, request);
  const bool mayHaveRun = request.PossibleRuns > 0;
  refuseWithStatus(ctx, request,
                   mayHaveRun ? ResultCode::BackendTimeout : ResultCode::DeadlineUnreachable,
                   mayHaveRun ? TimeoutStatus : NotRunStatus, std::chrono::milliseconds{0});
}

void forwardAnswer(Context &ctx, ActiveRequest &request) {
  ctx.Out.push_back(
      IncrementCounter{"answered", request.Call.Status < 400 ? "success" : "backend_failure"});
  logRequest(ctx, request, "answered", {{"status", std::to_string(request.Call.Status)}});
  ctx.S.CollectedBytes -= request.Call.Body.size();
  ctx.Out.push_back(
      ForwardAnswer{request.Id, request.Call.Id, std::exchange(request.Call.Body, {})});
  endCall(ctx, request, false);
  removeRequest(ctx, request);
}

void completeStream(Context &ctx, ActiveRequest &request) {
  ctx.Out.push_back(IncrementCounter{"answered", "stream"});
  logRequest(ctx, request, "answered", {{"status", std::to_string(request.Call.Status)}});
  ctx.Out.push_back(EndStream{request.Id});
  endCall(ctx, request, false);
  removeRequest(ctx, request);
}

void removeRequest(Context &ctx, ActiveRequest &request) {
  cancelCalls(ctx, request);
  if (!request.Workspace.empty()) {
    const auto it = ctx.S.Accounts.find(request.Workspace);
    if (it != ctx.S.Accounts.end()) {
      limits::removeWaiting(it->second, request.Id);
      if (request.Stage != Stage::WaitingForTokens && request.PossibleRuns == 0 && request.Cost > 0)
        limits::refund(it->second, request.Cost);
    }
  }
  ctx.S.ActiveRequests.erase(request.Id);
}

} // namespace chervil::relay::detail
