// Handles events of calls to backend servers: response heads, bytes of bodies, and ends.
#include "relay/Relay.h"
#include "relay/detail/BackendCalls.h"
#include "relay/detail/Context.h"
#include "relay/detail/Dispatch.h"
#include "relay/detail/Evidence.h"
#include "relay/detail/Limits.h"
#include "relay/detail/Outcome.h"
#include "relay/detail/SuspectParts.h"

#include <algorithm>
#include <utility>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;
using detail::Context;

// Retry-After if all servers that were tried were full.
constexpr auto ServersFullRetryAfter = 800ms;
// Largest event of a stream. An event without end would otherwise be collected without bound.
constexpr std::size_t MaxEventBytes = 256 * 1024;
// Successive events whose time is one sample of a server's speed: enough to average over the steps
// of an engine, and few enough for several samples a second.
constexpr unsigned EventsPerSample = 16;
// Answers up to this size are collected even if the bound of all answers is reached.
constexpr std::size_t SmallAnswerBytes = 64 * 1024;

/// Handles the first byte of an answer.
void onAnswerStarted(Context &ctx, ActiveRequest &request) {
  if (request.Call.GotFirstByte)
    return;
  request.Call.GotFirstByte = true;
  request.Call.FirstByteAt = ctx.Time.Steady;
  if (request.FirstByte == TimePoint{})
    request.FirstByte = ctx.Time.Steady;
  if (!request.Info.Prompt.empty())
    onPrefillDone(ctx.S.PrefillDemands[request.Service], request.Call.PendingTokens,
                  ctx.Time.Steady - request.Call.Sent);
  if (request.Call.Status == 200)
    onPromptRead(ctx.S.Servers, request.Call.Backend, request.Call.Figures,
                 ctx.Time.Steady - request.Call.Sent, ctx.Time);
  onFirstByte(ctx.S.Servers, request.Call.Backend, request.Call.PendingTokens, request.Info.Prompt);
  // A resumed stream counts as the same run for its workspace.
  if (!request.Workspace.empty() && request.LastEvent.empty())
    ctx.Out.push_back(RunStarted{request.Workspace});
}

/// Handles a call whose server did not run the request.
void onRejected(Context &ctx, ActiveRequest &request, ResultCode why) {
  request.LastFailure = why;
  recordOutcome(ctx.S.Servers, request.Call.Backend, SendOutcome::Full, ctx.Time);
  detail::endCall(ctx, request, true);
  if (detail::keepOtherCall(ctx, request))
    return;
  if (!detail::retryRequest(ctx, request, false))
    detail::refuse(ctx, request, why, ServersFullRetryAfter);
}

/// Handles an answer whose server says that it is leaving.
void onLeavingStated(Context &ctx, const ActiveRequest &request) {
  const Backend *server = find(ctx.S.Servers, request.Call.Backend);
  if (server == nullptr)
    return;
  message::BackendDeparture departure = makeDeparture(
      ctx.S.Servers, {request.Call.Backend, server->Entry.Born}, message::DepartureKind::Announced);
  if (!applyDeparture(ctx.S.Servers, departure, ctx.Time))
    return;
  detail::logDeparture(ctx.Out, departure, "answer");
  ctx.Out.push_back(Gossip{std::move(departure)});
}

/// Handles an answer whose server wants no requests from this node for a time.
void onPauseStated(Context &ctx, const ActiveRequest &request, std::chrono::milliseconds time) {
  ctx.Out.push_back(IncrementCounter{"backend_notice", "nothing_for"});
  if (pauseServer(ctx.S.Servers, request.Call.Backend, time, ctx.Time))
    detail::logRequest(ctx, request, "backend_pause", {{"time_ms", std::to_string(time.count())}});
}

/// Collects bytes of an answer. Returns false if there are too many.
bool collect(State &state, ActiveRequest &request, std::string_view bytes) {
  const std::size_t size = request.Call.Body.size() + bytes.size();
  const bool isCrowded = state.CollectedBytes + bytes.size() > state.Settings.MaxCollectedBytes;
  if (size > state.Settings.MaxAnswerBytes || (isCrowded && size > SmallAnswerBytes))
    return false;
  request.Call.Body.append(bytes);
  state.CollectedBytes += bytes.size();
  return true;
}

/// Handles a call whose connection ended. The server may have crashed while it ran the request,
/// however much of the answer has arrived.
void onBroken(Context &ctx, ActiveRequest &request, bool isInHead) {
  if (!request.Call.GotFirstByte || detail::isSmallFleet(ctx.S))
    ctx.Out.push_back(Gossip{retry::recordBrokenAnswer(
        ctx.S.Quarantine, request.Info.ContentHash, detail::startOf(ctx.S, request.Call.Backend),
        request.Call.Sent, request.Events, true, ctx.Time)});
  request.PassedCrashes = {};
  detail::onAnswerBroke(ctx, request, isInHead);
  detail::noteBroken(ctx, request);
  detail::onLost(ctx, request,
                 request.Call.Status != 0 ? ResultCode::BackendBadAnswer : ResultCode::BackendDied);
}

/// Counts an event of a stream for the speed of its server.
void timeEvent(Context &ctx, ActiveRequest &request) {
  if (request.Info.Prompt.empty())
    return;
  if (request.Call.EventsSince == TimePoint{}) {
    request.Call.EventsSince = ctx.Time.Steady;
    return;
  }
  if (++request.Call.TimedEvents < EventsPerSample)
    return;
  onEventsTimed(ctx.S.Servers, request.Call.Backend, request.Call.TimedEvents,
                ctx.Time.Steady - request.Call.EventsSince, ctx.Time);
  request.Call.TimedEvents = 0;
  request.Call.EventsSince = ctx.Time.Steady;
}

/// Handles a complete answer of the server itself, which did not crash on the content.
void onContentAnswered(Context &ctx, const ActiveRequest &request) {
  auto report =
      retry::recordAnswer(ctx.S.Quarantine, request.Info.ContentHash, request.Call.Sent, ctx.Time);
  if (!report)
    return;
  detail::logRequest(ctx, request, "content_cleared", {});
  ctx.Out.push_back(Gossip{std::move(*report)});
}

/// Handles events of a stream: one that goes on beyond the points at which earlier answers to its
/// content broke off shows that these had another cause.
void onEventsAdded(Context &ctx, ActiveRequest &request, std::uint32_t count) {
  request.Events += count;
  if (!detail::isSmallFleet(ctx.S))
    return;
  const auto broken =
      retry::mostEventsOfCrash(ctx.S.Quarantine, request.Info.ContentHash, ctx.Time);
  if (!broken || request.Events <= *broken) {
    request.PassedCrashes = {};
    return;
  }
  if (request.PassedCrashes == TimePoint{})
    request.PassedCrashes = ctx.Time.Steady;
  if (ctx.Time.Steady - request.PassedCrashes < detail::AnswerBeginTime)
    return;
  request.PassedCrashes = {};
  detail::logRequest(ctx, request, "content_cleared", {{"events", std::to_string(request.Events)}});
  if (auto report = retry::recordProgress(ctx.S.Quarantine, request.Info.ContentHash,
                                          request.Events, ctx.Time))
    ctx.Out.push_back(Gossip{std::move(*report)});
}

/// Forwards bytes of a stream. On resumable routes, only complete events that the caller does not
/// have yet are forwarded.
void streamEvents(Context &ctx, ActiveRequest &request, std::string_view bytes) {
  const std::uint32_t before = request.Call.Progress.Fields;
  if (advance(request.Call.Progress, bytes)) {
    request.Call.LastProgress = ctx.Time.Steady;
    // A server that was silent goes on.
    detail::leaveOtherCall(ctx, request);
    timeEvent(ctx, request);
    detail::noteEvent(request, ctx.Time);
  }
  if (!request.Route->Resumable) {
    onEventsAdded(ctx, request, request.Call.Progress.Fields - before);
    ctx.Out.push_back(StreamBytes{request.Id, std::string(bytes)});
    return;
  }
  std::string complete;
  std::uint32_t added = 0;
  for (const std::string &event : splitEvents(request.Call.Events, bytes)) {
    const std::string_view id = eventId(event);
    if (!id.empty() && isAlreadyDelivered(id, request.LastEvent))
      continue;
    if (!id.empty())
      request.LastEvent = id;
    complete += event;
    ++added;
  }
  onEventsAdded(ctx, request, added);
  if (!complete.empty())
    ctx.Out.push_back(StreamBytes{request.Id, std::move(complete)});
}

/// Returns true if the answer is forwarded as it arrives.
bool isStreamed(const ActiveRequest &request) {
  return request.Route->Kind == RouteKind::Stream && request.Call.IsGenuine &&
         request.Call.Status == 200;
}

/// Handles a call whose server sent more than an answer can hold, or, if `isCrowded`, more than
/// this node can collect now.
void onExcess(Context &ctx, ActiveRequest &request, bool isCrowded) {
  ctx.Out.push_back(IncrementCounter{"backend_misbehaved", "excess"});
  // An answer of a usual size may find the memory of this node taken by others.
  if (!isCrowded)
    detail::noteFailed(ctx, request);
  detail::logRequest(ctx, request, "answer_too_large",
                     {{"collected", std::to_string(request.Call.Body.size())}});
  detail::onLost(ctx, request, ResultCode::BackendBadAnswer);
}

/// Handles a call that ended with a complete answer.
void onCompleteAnswer(Context &ctx, ActiveRequest &request) {
  if (isStreamed(request)) {
    detail::onAnswerProgress(ctx, request, true);
    onContentAnswered(ctx, request);
    detail::noteAnswer(ctx, request);
    recordOutcome(ctx.S.Servers, request.Call.Backend, SendOutcome::Success, ctx.Time);
    ++request.PossibleRuns;
    if (!request.Call.Events.Partial.empty())
      ctx.Out.push_back(StreamBytes{request.Id, std::move(request.Call.Events.Partial)});
    detail::completeStream(ctx, request);
    return;
  }
  if (!request.Call.IsGenuine) {
    detail::noteFailed(ctx, request);
    detail::onLost(ctx, request, ResultCode::BackendBadAnswer);
    return;
  }
  onContentAnswered(ctx, request);
  // These statuses tell callers that the request did not run. They are not forwarded from a server
  // that did not declare that.
  const bool claimsNotRun = request.Call.Status == 503 || request.Call.Status == 429 ||
                            request.Call.Status == 408 || request.Call.Status == 421;
  if (request.Call.Status >= 500 || claimsNotRun) {
    request.LastFailure = ResultCode::BackendRefused;
    if (request.Call.Status >= 500)
      detail::noteFailed(ctx, request);
    recordOutcome(ctx.S.Servers, request.Call.Backend, SendOutcome::ServerError, ctx.Time);
    ++request.PossibleRuns;
    if (detail::keepOtherCall(ctx, request) || detail::retryRequest(ctx, request, true))
      return;
    if (claimsNotRun || request.Stage == Stage::Streaming) {
      detail::endCall(ctx, request, false);
      detail::refuse(ctx, request, ResultCode::BackendRefused, 0ms);
      return;
    }
    detail::forwardAnswer(ctx, request);
    return;
  }
  if (request.Call.Status < 400)
    detail::noteAnswer(ctx, request);
  recordOutcome(ctx.S.Servers, request.Call.Backend, SendOutcome::Success, ctx.Time);
  ++request.PossibleRuns;
  if (request.Stage != Stage::Streaming) {
    detail::forwardAnswer(ctx, request);
    return;
  }
  request.LastFailure = ResultCode::BackendBadAnswer;
  if (detail::keepOtherCall(ctx, request))
    return;
  detail::endCall(ctx, request, false);
  detail::refuse(ctx, request, request.LastFailure, 0ms);
}

/// Handles the head of an answer.
void onHead(Context &ctx, ActiveRequest &request, const BackendHead &head) {
  detail::onLimitStated(ctx, request, head.Limit);
  if (head.Leaving)
    onLeavingStated(ctx, request);
  if (head.NothingFor > 0ms)
    onPauseStated(ctx, request, head.NothingFor);
  if (head.NotRun || head.WrongServer) {
    if (head.Status == 400 && head.IsGenuine) {
      request.Call.Status = head.Status;
      request.Call.IsGenuine = true;
      return;
    }
    onRejected(ctx, request,
               head.WrongServer ? ResultCode::BackendConnectFailed : ResultCode::BackendRefused);
    return;
  }
  request.Call.Status = head.Status;
  request.Call.IsGenuine = head.IsGenuine;
  request.Call.AnswerBegan = request.Call.LastProgress = ctx.Time.Steady;
  if (!isStreamed(request))
    return;
  detail::leaveOtherCall(ctx, request);
  if (request.Stage != Stage::Streaming) {
    request.Stage = Stage::Streaming;
    ctx.Out.push_back(BeginStream{request.Id, request.Call.Id});
  }
}

/// Handles bytes of the body of an answer.
void onBytes(Context &ctx, ActiveRequest &request, std::string_view bytes) {
  onAnswerStarted(ctx, request);
  detail::onAnswerProgress(ctx, request, false);
  if (isStreamed(request)) {
    streamEvents(ctx, request, bytes);
    if (request.Call.Events.Partial.size() > MaxEventBytes)
      onExcess(ctx, request, false);
  } else if (!collect(ctx.S, request, bytes)) {
    onExcess(ctx, request,
             request.Call.Body.size() + bytes.size() <= ctx.S.Settings.MaxAnswerBytes);
  }
}

/// Handles the end of a call.
void onEnd(Context &ctx, ActiveRequest &request, BackendEnd end) {
  switch (end) {
  case BackendEnd::Complete:
  case BackendEnd::Closed: {
    // A server that dies closes its connections too. Half an event, or no body at all, shows it.
    const bool lacksBody = end == BackendEnd::Closed && !request.Call.GotFirstByte;
    if (lacksBody || (isStreamed(request) && !request.Call.Progress.AtBoundary))
      onBroken(ctx, request, false);
    else
      onCompleteAnswer(ctx, request);
    return;
  }
  case BackendEnd::Excessive:
    onExcess(ctx, request, false);
    return;
  case BackendEnd::NotSent:
    recordOutcome(ctx.S.Servers, request.Call.Backend, SendOutcome::Broken, ctx.Time);
    detail::noteUnreachable(ctx, request);
    onRejected(ctx, request, ResultCode::BackendConnectFailed);
    return;
  case BackendEnd::Broken:
  case BackendEnd::BrokenInHead:
    onBroken(ctx, request, end == BackendEnd::BrokenInHead);
    return;
  }
}

/// Handles an event of a call, which is the current call of its request meanwhile. Ignores events
/// of calls that have ended.
template <typename Handler> void handleEvent(State &state, CallId call, const Handler &handler) {
  const auto it = state.Calls.find(call);
  if (it == state.Calls.end())
    return;
  const RequestId id = it->second;
  const auto request = state.ActiveRequests.find(id);
  if (request == state.ActiveRequests.end())
    return;
  if (request->second.Call.Id != call)
    std::swap(request->second.Call, *request->second.SilentCall);
  handler(request->second);
  // The event may have ended the request.
  const auto left = state.ActiveRequests.find(id);
  if (left == state.ActiveRequests.end() || !left->second.SilentCall)
    return;
  ActiveRequest &open = left->second;
  if (open.SilentCall->Id > open.Call.Id)
    std::swap(open.Call, *open.SilentCall);
}

} // namespace

void onBackendHead(State &state, CallId call, const BackendHead &head, Effects &out, const Now &now,
                   Random &rng) {
  Context ctx{state, out, now, rng};
  handleEvent(state, call, [&](ActiveRequest &request) { onHead(ctx, request, head); });
}

void onBackendBytes(State &state, CallId call, std::string_view bytes, Effects &out, const Now &now,
                    Random &rng) {
  Context ctx{state, out, now, rng};
  handleEvent(state, call, [&](ActiveRequest &request) { onBytes(ctx, request, bytes); });
}

void onBackendEnd(State &state, CallId call, BackendEnd end, Effects &out, const Now &now,
                  Random &rng) {
  Context ctx{state, out, now, rng};
  handleEvent(state, call, [&](ActiveRequest &request) { onEnd(ctx, request, end); });
}

} // namespace chervil::relay
