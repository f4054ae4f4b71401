#include "relay/detail/Dispatch.h"

#include "relay/detail/BackendCalls.h"
#include "relay/detail/Limits.h"
#include "relay/detail/Outcome.h"
#include "relay/detail/SuspectParts.h"
#include "relay/detail/Versions.h"

#include <algorithm>
#include <utility>

namespace chervil::relay::detail {
namespace {

using namespace std::chrono_literals;

// Retry-After if a service has no server or none is free; about the time that a server takes to
// start.
constexpr auto NoServerRetryAfter = 1000ms;
// A request waits for a free server for at most this fraction of its latency target, or of its
// total time if that is shorter.
constexpr double MaxQueueTimeFraction = 0.5;
// A request with less time left than this is not sent, because it would not be answered in time.
constexpr Duration MinTimeLeftToSend = 30ms;
// Bound on the bytes of a stream per output token that the request asks for. A token is a few
// bytes; an event with one token adds its id and its JSON.
constexpr std::uint64_t MaxBytesPerToken = 1024;
// Claims of a request that may be denied before it goes to a server without a limit, or waits. Each
// of them costs a round trip to another node.
constexpr unsigned MaxDeniedClaims = 2;
// Additional sends of a request for those that servers rejected without running it.
constexpr unsigned MaxRejectedSends = 3;

/// Returns how many requests this node may have in flight on one server; 0 for no limit.
unsigned maxInflight(const State &state, const Service &service) {
  if (service.MaxConnections == 0)
    return 0;
  // The limit is shared by all nodes. A tenth of it is left for connections that are just closing.
  const double share =
      0.9 * service.MaxConnections / double(std::max<std::size_t>(1, state.LiveNodes));
  return std::max(1U, static_cast<unsigned>(share));
}

/// Returns the service of a request; null if its configuration has none of that name.
const Service *findService(const ActiveRequest &request) {
  const auto it = request.Configuration->Services.find(request.Service);
  return it == request.Configuration->Services.end() ? nullptr : &it->second;
}

/// Bound on the bytes of an answer. A stream is forwarded and not collected, so that it may be as
/// long as its tokens.
std::uint64_t maxAnswerBytes(const State &state, const ActiveRequest &request) {
  const std::uint64_t bound = state.Settings.MaxAnswerBytes;
  if (request.Route->Kind != RouteKind::Stream)
    return bound;
  return std::max(bound, MaxBytesPerToken * request.Info.OutputTokens);
}

/// Starts the call that sends the request to the server.
void sendCall(Context &ctx, ActiveRequest &request, const Choice &choice) {
  const Backend &server = *choice.Server;
  State &state = ctx.S;
  request.DeniedClaims = 0;
  request.IsRetrying = false;
  request.TriedServers.push_back(server.Entry.Id);
  request.Call = {.Id = state.NextCall++,
                  .Backend = server.Entry.Id,
                  .PendingTokens = choice.PendingTokens,
                  .Figures = choice.Figures,
                  .Sent = ctx.Time.Steady};
  request.Call.LastProgress = ctx.Time.Steady;
  if (request.Stage != Stage::Streaming)
    request.Stage = Stage::Running;
  state.Calls.emplace(request.Call.Id, request.Id);
  onRequestSent(state.Servers, request.Call.Backend, request.Call.PendingTokens);
  onVersionSent(state, request, server);
  if (!request.Info.Prompt.empty())
    onPromptSent(state.PrefillDemands[request.Service], request.Call.PendingTokens, ctx.Time);
  CallBackend call;
  call.Call = request.Call.Id;
  call.Request = request.Id;
  call.AttemptId = request.Info.AttemptId;
  call.Backend = server.Entry.Id;
  call.Address = server.Entry.Address;
  call.Workspace = request.Workspace;
  call.HasDeadline = true;
  call.Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.Deadline - ctx.Time.Steady);
  call.Priority = request.Priority;
  call.ResumeAfter = request.LastEvent;
  call.MaxAnswerBytes = maxAnswerBytes(state, request);
  if (choice.PrefixSource != nullptr && choice.PrefixSource != choice.Server)
    call.FetchPrefixFrom = choice.PrefixSource->Entry.Address;
  ctx.Out.push_back(std::move(call));
}

SelectionCriteria criteriaOf(Context &ctx, ActiveRequest &request) {
  const State &state = ctx.S;
  SelectionCriteria criteria;
  criteria.Versions = versionsFor(ctx.S, request, ctx.Time, ctx.Rng);
  criteria.Service = request.Service;
  criteria.Prompt = request.Info.Prompt;
  criteria.Excluded = request.TriedServers;
  if (const Service *service = findService(request))
    criteria.MaxInflight = maxInflight(state, *service);
  if (const auto it = state.PrefillDemands.find(request.Service); it != state.PrefillDemands.end())
    criteria.OwnTokensPerSecond = prefillTokensPerSecond(it->second, ctx.Time);
  if (request.DeniedClaims >= MaxDeniedClaims)
    criteria.Limited = SelectionCriteria::LimitedServers::None;
  return criteria;
}

/// Chooses a server; an old one if no server of the target can take the request.
Choice choose(Context &ctx, ActiveRequest &request, SelectionCriteria &criteria) {
  const Choice choice = chooseServer(ctx.S.Servers, criteria, ctx.Time, ctx.Rng);
  if (choice.Server != nullptr || !leaveTarget(ctx.S, request, ctx.Time))
    return choice;
  criteria.Versions = versionsFor(ctx.S, request, ctx.Time, ctx.Rng);
  return chooseServer(ctx.S.Servers, criteria, ctx.Time, ctx.Rng);
}

void send(Context &ctx, ActiveRequest &request, const Choice &choice) {
  if (!request.IsRetrying)
    onFirstSend(ctx.S.Retries[request.Service], ctx.Time, ctx.S.Settings.RetryWindow);
  sendCall(ctx, request, choice);
}

/// Sends the request to the chosen server, or claims the send if the server has a limit.
void place(Context &ctx, ActiveRequest &request, const Choice &choice) {
  if (isLimited(*choice.Server))
    claimSend(ctx, request, choice.Server->Entry.Id);
  else
    send(ctx, request, choice);
}

/// Random addition to a Retry-After: callers that are refused together should not return together.
std::chrono::milliseconds returnSpread(Context &ctx) {
  std::uniform_int_distribution<std::int64_t> spread(0, NoServerRetryAfter.count());
  return std::chrono::milliseconds(spread(ctx.Rng));
}

/// Refuses a request whose servers have all asked this node to send nothing, if they do so for
/// longer than it may wait. Returns false if it may still be served.
bool refusePaused(Context &ctx, ActiveRequest &request, const SelectionCriteria &criteria,
                  Duration maxQueueTime) {
  const auto until = endOfPause(ctx.S.Servers, criteria, ctx.Time);
  if (!until || *until <= request.Arrived + maxQueueTime)
    return false;
  const auto time = std::chrono::ceil<std::chrono::milliseconds>(*until - ctx.Time.Steady);
  ctx.Out.push_back(IncrementCounter{"refused_behind", "backend_pause"});
  refuse(ctx, request, ResultCode::NodeOverloaded, time + returnSpread(ctx));
  return true;
}

/// Refuses a request that waited too long for a server.
void refuseWaiting(Context &ctx, ActiveRequest &request, const SelectionCriteria &criteria) {
  std::chrono::milliseconds retryAfter = NoServerRetryAfter;
  if (hasServerBehindLimit(ctx.S.Servers, criteria, ctx.Time)) {
    retryAfter += returnSpread(ctx);
    ctx.Out.push_back(IncrementCounter{"refused_behind", "server_limit"});
    logRequest(ctx, request, "waited_for_server_limit", {});
  }
  refuse(ctx, request, ResultCode::NodeOverloaded, retryAfter);
}

/// True if a request of which `runs` sends may have run may run once more.
bool mayRunAgain(const Context &ctx, const ActiveRequest &request, unsigned runs) {
  return runs < request.Route->MaxAttempts &&
         ctx.Time.Steady + MinTimeLeftToSend <= request.GiveUp &&
         !retry::isQuarantined(ctx.S.PartQuarantine, sharedParts(request.Info.Prompt));
}

/// Charges the next send of a request to the retry budget. Returns false if that is spent.
bool takeRetry(Context &ctx, ActiveRequest &request, const Choice &choice) {
  State &state = ctx.S;
  if (!tryAcquireRetry(state.Retries[request.Service], state.Settings, state.LiveNodes, ctx.Time)) {
    ctx.Out.push_back(IncrementCounter{"retry_refused", "budget"});
    return false;
  }
  ++request.Retries;
  request.IsRetrying = true;
  ctx.Out.push_back(IncrementCounter{"retries", chervil::info(request.LastFailure).Name});
  logRequest(ctx, request, "retry",
             {{"reason", chervil::info(request.LastFailure).Name},
              {"to", choice.Server == nullptr ? "" : choice.Server->Entry.Id}});
  return true;
}

void endCall(Context &ctx, ServerCall &call, bool cancel) {
  if (call.Id == 0)
    return;
  ctx.S.Calls.erase(call.Id);
  ctx.S.CollectedBytes -= call.Body.size();
  call.Body = {};
  onRequestEnded(ctx.S.Servers, call.Backend, call.PendingTokens, call.GotFirstByte);
  if (cancel)
    ctx.Out.push_back(CancelBackend{call.Id});
  call.Id = 0;
}

/// Continues a stream on another server, or ends it if none can be found in time.
void resumeStream(Context &ctx, ActiveRequest &request) {
  SelectionCriteria criteria = criteriaOf(ctx, request);
  const Choice choice = choose(ctx, request, criteria);
  if (choice.Server != nullptr)
    place(ctx, request, choice);
  else if (ctx.Time.Steady - request.Call.LastProgress > stallTimeout(*request.Route))
    refuse(ctx, request, request.LastFailure, 0ms);
}

} // namespace

void dispatch(Context &ctx, ActiveRequest &request) {
  State &state = ctx.S;
  request.Stage = Stage::WaitingForServer;
  if (!request.IsProbe &&
      retry::isQuarantined(state.PartQuarantine, sharedParts(request.Info.Prompt))) {
    refuse(ctx, request, ResultCode::Quarantined, QuarantineRetryAfter);
    return;
  }
  if (ctx.Time.Steady + MinTimeLeftToSend > request.GiveUp) {
    refuse(ctx, request, ResultCode::DeadlineUnreachable, 0ms);
    return;
  }
  if (request.SendClaim != 0)
    return;
  SelectionCriteria criteria = criteriaOf(ctx, request);
  const Choice choice = choose(ctx, request, criteria);
  if (choice.Server != nullptr) {
    place(ctx, request, choice);
    return;
  }
  if (!hasActiveServer(state.Servers, criteria)) {
    refuse(ctx, request, ResultCode::NoBackend, NoServerRetryAfter);
    return;
  }
  const auto maxQueueTime = std::chrono::duration_cast<Duration>(
      MaxQueueTimeFraction *
      std::min<Duration>(request.Route->Target, request.GiveUp - request.Arrived));
  if (refusePaused(ctx, request, criteria, maxQueueTime))
    return;
  if (ctx.Time.Steady - request.Arrived > maxQueueTime)
    refuseWaiting(ctx, request, criteria);
}

bool waitsToResume(const ActiveRequest &request) {
  return request.Stage == Stage::Streaming && request.Call.Id == 0 && request.SendClaim == 0;
}

void placeAgain(Context &ctx, ActiveRequest &request) {
  if (request.Stage == Stage::Streaming)
    resumeStream(ctx, request);
  else
    dispatch(ctx, request);
}

void sendClaimed(Context &ctx, ActiveRequest &request, const std::string &server) {
  SelectionCriteria criteria = criteriaOf(ctx, request);
  criteria.Limited = SelectionCriteria::LimitedServers::All;
  criteria.Only = server;
  const Choice choice = chooseServer(ctx.S.Servers, criteria, ctx.Time, ctx.Rng);
  if (choice.Server != nullptr)
    send(ctx, request, choice);
  else
    placeAgain(ctx, request);
}

bool retryRequest(Context &ctx, ActiveRequest &request, bool mayHaveRun) {
  State &state = ctx.S;
  const std::size_t bound =
      mayHaveRun ? request.Route->MaxAttempts : request.Route->MaxAttempts + MaxRejectedSends;
  if ((mayHaveRun && !isIdempotent(*request.Route)) || request.TriedServers.size() >= bound ||
      !mayRunAgain(ctx, request, request.PossibleRuns))
    return false;
  SelectionCriteria criteria = criteriaOf(ctx, request);
  const Choice choice = choose(ctx, request, criteria);
  const bool mayWait =
      hasServerBehindLimit(state.Servers, criteria, ctx.Time) ||
      (request.LastFailure != ResultCode::BackendTimeout && waitsForUnit(state, request, ctx.Time));
  if ((choice.Server == nullptr && !mayWait) || !takeRetry(ctx, request, choice))
    return false;
  endCall(ctx, request, false);
  if (request.Stage != Stage::Streaming)
    request.Stage = Stage::WaitingForServer;
  if (choice.Server != nullptr)
    place(ctx, request, choice);
  return true;
}

bool askAnotherServer(Context &ctx, ActiveRequest &request) {
  const unsigned open = request.SilentCall ? 2 : 1;
  if (!isIdempotent(*request.Route) ||
      request.TriedServers.size() >= request.Route->MaxAttempts + MaxRejectedSends ||
      !mayRunAgain(ctx, request, request.PossibleRuns + open))
    return false;
  SelectionCriteria criteria = criteriaOf(ctx, request);
  // The claim for a server with a limit would be denied in most cases, and retries are few.
  criteria.Limited = SelectionCriteria::LimitedServers::None;
  const Choice choice = choose(ctx, request, criteria);
  if (choice.Server == nullptr || !takeRetry(ctx, request, choice))
    return false;
  // If there are two calls already, both servers are silent, and the first one for as long as
  // callers wait.
  cancelSilentCall(ctx, request);
  request.SilentCall = std::exchange(request.Call, {});
  send(ctx, request, choice);
  return true;
}

void endCall(Context &ctx, ActiveRequest &request, bool cancel) {
  endCall(ctx, request.Call, cancel);
}

void cancelCall(Context &ctx, ActiveRequest &request) {
  if (request.Call.Id == 0)
    return;
  ++request.PossibleRuns;
  endCall(ctx, request.Call, true);
}

void cancelSilentCall(Context &ctx, ActiveRequest &request) {
  if (!request.SilentCall)
    return;
  ++request.PossibleRuns;
  endCall(ctx, *request.SilentCall, true);
  request.SilentCall.reset();
}

void claimTokensIfNeeded(Context &ctx, const std::string &workspace,
                         limits::TokenAccount &account) {
  const auto amount = limits::amountToClaim(account, ctx.Time);
  if (!amount)
    return;
  const std::uint64_t seq = ctx.S.NextClaim++;
  limits::onClaimSent(account, seq, *amount, ctx.Time);
  ctx.Out.push_back(ClaimTokens{workspace, *amount, seq});
}

} // namespace chervil::relay::detail
