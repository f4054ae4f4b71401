#include "relay/detail/BackendCalls.h"

#include "relay/detail/Dispatch.h"
#include "relay/detail/Evidence.h"
#include "relay/detail/Outcome.h"

#include <algorithm>
#include <utility>

namespace chervil::relay::detail {
namespace {

using namespace std::chrono_literals;

// Time between two attempts to find another server for a stream whose server is silent.
constexpr Duration MovePeriod = 200ms;

void logSilence(Context &ctx, const ActiveRequest &request, const ServerCall &silent) {
  ctx.Out.push_back(IncrementCounter{"backend_misbehaved", "stalled"});
  logRequest(ctx, request, "stalled",
             {{"silent_server", silent.Backend},
              {"silent_ms", formatMillis(ctx.Time.Steady - silent.LastProgress)}});
}

} // namespace

Duration callerPatience(const Route &route) {
  return std::max({MinStallTimeout, Duration(StallTargets * route.Target),
                   Duration(StallGaps * route.GapTarget)});
}

Duration stallTimeout(const Route &route) {
  return route.Resumable ? callerPatience(route) / 2 : callerPatience(route);
}

bool isStalled(const ActiveRequest &request, const Now &now) {
  return request.Stage == Stage::Streaming && request.Call.Id != 0 &&
         now.Steady - request.Call.LastProgress > stallTimeout(*request.Route);
}

void handleStalledCall(Context &ctx, ActiveRequest &request) {
  if (ctx.Time.Steady - request.Call.LastProgress > callerPatience(*request.Route)) {
    noteTimeout(ctx, request);
    logSilence(ctx, request, request.Call);
    onLost(ctx, request, ResultCode::BackendTimeout);
    return;
  }
  if (ctx.Time.Steady < request.NextMove)
    return;
  request.NextMove = ctx.Time.Steady + MovePeriod;
  const ResultCode before = std::exchange(request.LastFailure, ResultCode::BackendTimeout);
  if (!askAnotherServer(ctx, request)) {
    request.LastFailure = before;
    return;
  }
  logSilence(ctx, request, *request.SilentCall);
  noteSilence(ctx, request, *request.SilentCall);
  recordOutcome(ctx.S.Servers, request.SilentCall->Backend, SendOutcome::Broken, ctx.Time);
}

void onLost(Context &ctx, ActiveRequest &request, ResultCode why) {
  request.LastFailure = why;
  recordOutcome(ctx.S.Servers, request.Call.Backend, SendOutcome::Broken, ctx.Time);
  cancelCall(ctx, request);
  if (keepOtherCall(ctx, request) || retryRequest(ctx, request, true))
    return;
  refuse(ctx, request, why, 0ms);
}

bool keepOtherCall(Context &ctx, ActiveRequest &request) {
  if (!request.SilentCall)
    return false;
  endCall(ctx, request, false);
  request.Call = *std::exchange(request.SilentCall, std::nullopt);
  if (!isStalled(request, ctx.Time)) {
    // The silent call has failed, and the server that was asked has the stream for itself.
    ctx.Out.push_back(IncrementCounter{"stalled_streams", "moved"});
    return true;
  }
  ctx.Out.push_back(IncrementCounter{"stalled_streams", "returned"});
  logRequest(ctx, request, "returned",
             {{"reason", chervil::info(request.LastFailure).Name},
              {"silent_ms", formatMillis(ctx.Time.Steady - request.Call.LastProgress)}});
  askAnotherServer(ctx, request);
  return true;
}

void leaveOtherCall(Context &ctx, ActiveRequest &request) {
  if (!request.SilentCall)
    return;
  const bool isMoved = request.Call.Id > request.SilentCall->Id;
  ctx.Out.push_back(IncrementCounter{"stalled_streams", isMoved ? "moved" : "went_on"});
  cancelSilentCall(ctx, request);
}

} // namespace chervil::relay::detail
