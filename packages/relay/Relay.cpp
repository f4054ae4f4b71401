#include "relay/Relay.h"

#include "relay/detail/BackendCalls.h"
#include "relay/detail/Context.h"
#include "relay/detail/Dispatch.h"
#include "relay/detail/Evidence.h"
#include "relay/detail/Outcome.h"
#include "relay/detail/SuspectParts.h"
#include "relay/detail/Versions.h"

#include <algorithm>
#include <random>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;
using detail::Context;

// Retry-After for requests that arrive before this node has a configuration.
constexpr auto NotReadyRetryAfter = 500ms;
// Retry-After for requests to a node that is about to stop. Another node can serve them at once.
constexpr auto NodeLeavingRetryAfter = 10ms;

// Time between two messages to random peers about what is quarantined. A node that has just
// started knows nothing, and gossip may miss a node.
constexpr Duration QuarantineSharePeriod = 1s;

// Requests with a quarantined prompt that all nodes together send on average, if each of them gets
// one. Below one, because more may arrive before all nodes know how the first has ended.
constexpr double ProbesOfAllNodes = 0.5;

// Number of route priorities per workspace priority. The priority of the workspace is compared
// first, that of the route only among workspaces of equal priority.
constexpr int RoutePriorityLevels = 3;

/// Picks one of the services of a route at random, in proportion to the weights.
const std::string &pickService(const Route &route, Random &rng) {
  static const std::string none;
  double total = 0;
  for (const WeightedService &it : route.Services)
    total += it.Weight;
  std::uniform_real_distribution<double> pick(0, std::max(total, 1e-9));
  double at = pick(rng);
  for (const WeightedService &it : route.Services) {
    at -= it.Weight;
    if (at <= 0)
      return it.Service;
  }
  return route.Services.empty() ? none : route.Services.back().Service;
}

/// Returns what the request is charged by the rate limit of its workspace, in tokens or requests.
double requestCost(const RequestInfo &info, const Workspace &workspace) {
  if (!workspace.CountsTokens)
    return 1;
  return info.HasTokens ? double(info.PromptTokens) + double(info.OutputTokens)
                        : workspace.DefaultTokens;
}

/// Version, source and age of the configuration that a decision is based on.
void appendConfigurationFields(const State &state, const Now &now, detail::LogFields &fields) {
  if (state.Config == nullptr)
    return;
  const ConfigurationStatus &status = state.ConfigStatus;
  fields.emplace_back("config", std::to_string(state.Config->Version));
  fields.emplace_back("config_source", status.Source);
  fields.emplace_back("config_in_force_ms", detail::formatMillis(now.Steady - status.InForceSince));
  if (status.NewestAt)
    fields.emplace_back("config_confirmed_ms", detail::formatMillis(now.Steady - *status.NewestAt));
}

/// Refuses a request that has not been admitted.
void refuseUnadmitted(Context &ctx, RequestId id, const RequestInfo &info, ResultCode code,
                      int status, std::chrono::milliseconds retryAfter) {
  ctx.Out.push_back(Refuse{id, code, status, retryAfter});
  ctx.Out.push_back(IncrementCounter{"refused", chervil::info(code).Name});
  detail::LogFields fields{{"reason", chervil::info(code).Name},
                           {"status", std::to_string(status)},
                           {"host", info.Host},
                           {"path", info.Path}};
  appendConfigurationFields(ctx.S, ctx.Time, fields);
  ctx.Out.push_back(LogRecord{"refused", info.AttemptId, std::move(fields)});
}

/// Returns true if requests with this content have crashed too many servers.
bool isContentQuarantined(const Context &ctx, std::uint64_t contentHash) {
  return retry::crashCount(ctx.S.Quarantine, contentHash, ctx.Time) >= detail::CrashesToRefuse;
}

/// Decides whether this node sends one request that is quarantined because of its prompt or of its
/// whole content.
bool sendsProbe(const Context &ctx, const RequestInfo &info) {
  const bool isContentDue =
      !isContentQuarantined(ctx, info.ContentHash) ||
      retry::isProbeDue(ctx.S.Quarantine, info.ContentHash, detail::CrashesToRefuse, ctx.Time);
  if (!isContentDue || !retry::isProbeDue(ctx.S.PartQuarantine, sharedParts(info.Prompt), ctx.Time))
    return false;
  const double nodes = double(std::max<std::size_t>(1, ctx.S.LiveNodes));
  return std::bernoulli_distribution(ProbesOfAllNodes / nodes)(ctx.Rng);
}

/// Registers the request and dispatches it, or lets it wait for tokens of its rate limit.
void admitRequest(Context &ctx, ActiveRequest request, const Workspace *workspace) {
  State &state = ctx.S;
  const RequestId id = request.Id;
  ActiveRequest &it = state.ActiveRequests.emplace(id, std::move(request)).first->second;
  if (workspace == nullptr || workspace->Rate <= 0) {
    detail::dispatch(ctx, it);
    return;
  }
  limits::TokenAccount &account = state.Accounts[workspace->Name];
  if (limits::tryDebit(account, it.Cost, ctx.Time)) {
    detail::claimTokensIfNeeded(ctx, workspace->Name, account);
    detail::dispatch(ctx, it);
    return;
  }
  limits::enqueue(account, id, it.Cost);
  detail::claimTokensIfNeeded(ctx, workspace->Name, account);
}

} // namespace

State makeState(Options options) {
  State state;
  state.Servers.DataCentre = options.DataCentre;
  state.Servers.Node = options.Node;
  state.Settings = std::move(options);
  return state;
}

bool configure(State &state, ConfigurationPtr configuration) {
  if (state.Config != nullptr && configuration->Version <= state.Config->Version)
    return false;
  state.Config = std::move(configuration);
  return true;
}

message::BackendLoads buildLoadReport(const State &state, const Now &now) {
  message::BackendLoads out = localLoads(state.Servers, now);
  for (const auto &[service, it] : state.PrefillDemands)
    out.Demands.push_back({service, static_cast<std::uint32_t>(prefillTokensPerSecond(it, now))});
  return out;
}

void onPeerLoads(State &state, const std::string &node, const message::BackendLoads &loads,
                 std::size_t reportFanout, const Now &now) {
  applyReport(state.Servers.Peers, node, loads, now);
  const std::size_t peers = state.LiveNodes - std::min<std::size_t>(1, state.LiveNodes);
  const std::size_t reporting = state.Servers.Peers.Reports.size();
  state.Servers.PeerScale =
      peers > reportFanout ? std::max(1.0, double(peers) / double(reporting)) : 1;
}

std::optional<double> estimateBusyServers(const State &state, const std::string &service,
                                          const Now &now) {
  const auto own = state.PrefillDemands.find(service);
  if (own == state.PrefillDemands.end() || own->second.PrefillTokensPerMs <= 0)
    return std::nullopt;
  double others = 0;
  for (const auto &[node, report] : state.Servers.Peers.Reports)
    for (const message::ServiceDemand &it : report.Loads.Demands)
      others += it.Service == service ? it.TokensPerSecond : 0;
  return (prefillTokensPerSecond(own->second, now) + others * state.Servers.PeerScale) /
         (own->second.PrefillTokensPerMs * 1000);
}

void onBackendList(State &state, std::span<const BackendEntry> list, bool keepMissing, Effects &out,
                   const Now &now, const store::Position &position) {
  for (message::BackendDeparture &it : applyList(state.Servers, list, keepMissing, now, position)) {
    detail::logDeparture(out, it, "list");
    out.push_back(Gossip{std::move(it)});
  }
  detail::onServersChanged(state);
}

void onBackendDeparture(State &state, const message::BackendDeparture &departure, Effects &out,
                        const Now &now) {
  if (!applyDeparture(state.Servers, departure, now))
    return;
  detail::logDeparture(out, departure, "peer");
  out.push_back(Gossip{departure});
}

void onCrashReport(State &state, const message::CrashReport &report, Effects &out, const Now &now) {
  if (retry::mergeCrashReport(state.Quarantine, report, now))
    out.push_back(Gossip{report});
}

void onPartEvidence(State &state, const message::PartEvidence &evidence, Effects &out,
                    const Now &now) {
  Random unused;
  Context ctx{state, out, now, unused};
  message::PartEvidence added = retry::mergeEvidence(state.PartQuarantine, evidence, now);
  if (retry::isEmpty(added))
    return;
  out.push_back(Gossip{std::move(added)});
  detail::refuseQuarantined(ctx);
}

void onRequest(State &state, RequestId id, RequestInfo info, TimePoint arrived, Effects &out,
               const Now &now, Random &rng) {
  Context ctx{state, out, now, rng};
  if (state.RefusesRequests) {
    refuseUnadmitted(ctx, id, info, ResultCode::NodeLeaving, 503, NodeLeavingRetryAfter);
    return;
  }
  if (state.Config == nullptr) {
    refuseUnadmitted(ctx, id, info, ResultCode::NotReady, 503, NotReadyRetryAfter);
    return;
  }
  const Route *route = findRoute(*state.Config, info.Host, info.Path);
  if (route == nullptr) {
    refuseUnadmitted(ctx, id, info, ResultCode::NotFound, 404, 0ms);
    return;
  }
  const Workspace *workspace = nullptr;
  if (!route->Anonymous && !state.Config->Workspaces.empty()) {
    workspace = findWorkspaceByKey(*state.Config, info.Key);
    if (workspace == nullptr) {
      refuseUnadmitted(ctx, id, info, ResultCode::UnknownCustomerKey, 401, 0ms);
      return;
    }
  }
  const bool isQuarantined = isContentQuarantined(ctx, info.ContentHash) ||
                             retry::isQuarantined(state.PartQuarantine, sharedParts(info.Prompt));
  const bool isProbe = isQuarantined && sendsProbe(ctx, info);
  if (isQuarantined && !isProbe) {
    refuseUnadmitted(ctx, id, info, ResultCode::Quarantined, 503, detail::QuarantineRetryAfter);
    return;
  }
  ActiveRequest request;
  request.Id = id;
  request.IsProbe = isProbe;
  request.Configuration = state.Config;
  request.Route = route;
  request.Service = pickService(*route, rng);
  request.Priority = route->Priority;
  if (workspace != nullptr) {
    request.Workspace = workspace->Name;
    if (workspace->Priority)
      request.Priority = RoutePriorityLevels * *workspace->Priority +
                         std::min(route->Priority, RoutePriorityLevels - 1);
    request.Cost = requestCost(info, *workspace);
  }
  request.Arrived = arrived;
  request.Deadline = arrived + std::min(info.Deadline.value_or(route->Timeout), MaxDeadline);
  request.GiveUp = std::min(request.Deadline, arrived + route->Timeout);
  request.Info = std::move(info);
  admitRequest(ctx, std::move(request), workspace);
}

void onCallerGone(State &state, RequestId id, Effects &out, const Now &now) {
  const auto it = state.ActiveRequests.find(id);
  if (it == state.ActiveRequests.end())
    return;
  Random unused;
  Context ctx{state, out, now, unused};
  ActiveRequest &request = it->second;
  detail::logRequest(ctx, request, "caller_gone", {});
  detail::removeRequest(ctx, request);
}

void onTokenGrant(State &state, const message::TokenGrant &grant, Effects &out, const Now &now,
                  Random &rng) {
  Context ctx{state, out, now, rng};
  limits::TokenAccount &account = state.Accounts[grant.Workspace];
  const limits::AdmissionDecisions decided =
      limits::onTokenGrant(account, grant.Seq, grant.Granted, now);
  for (const std::uint64_t id : decided.Admitted)
    if (const auto it = state.ActiveRequests.find(id); it != state.ActiveRequests.end())
      detail::dispatch(ctx, it->second);
  for (const std::uint64_t id : decided.Refused)
    if (const auto it = state.ActiveRequests.find(id); it != state.ActiveRequests.end())
      detail::refuse(
          ctx, it->second, ResultCode::LimitTokens,
          std::max<std::chrono::milliseconds>(grant.RemainderAfter, detail::MinLimitRetryAfter));
  detail::claimTokensIfNeeded(ctx, grant.Workspace, account);
}

void onClaimLost(State &state, const std::string &workspace, Effects &out, const Now &now) {
  Random unused;
  Context ctx{state, out, now, unused};
  limits::TokenAccount &account = state.Accounts[workspace];
  limits::onClaimLost(account);
  detail::claimTokensIfNeeded(ctx, workspace, account);
}

void endRequests(State &state, Effects &out, const Now &now, Random &rng) {
  Context ctx{state, out, now, rng};
  std::vector<RequestId> open;
  for (const auto &[id, request] : state.ActiveRequests)
    open.push_back(id);
  for (const RequestId id : open)
    detail::refuse(ctx, state.ActiveRequests.at(id), ResultCode::NodeLeaving,
                   NodeLeavingRetryAfter);
}

void tick(State &state, Effects &out, const Now &now, Random &rng) {
  Context ctx{state, out, now, rng};
  for (auto &[workspace, account] : state.Accounts)
    if (!account.Waiting.empty())
      detail::claimTokensIfNeeded(ctx, workspace, account);
  if (now.Steady >= state.NextQuarantineShare) {
    state.NextQuarantineShare = now.Steady + QuarantineSharePeriod;
    retry::prune(state.PartQuarantine, now);
    retry::prune(state.Quarantine, now);
    message::PartEvidence evidence = retry::evidenceOfQuarantines(state.PartQuarantine, now);
    if (!retry::isEmpty(evidence))
      out.push_back(Gossip{std::move(evidence)});
  }
  state.Servers.OtherNodes = state.LiveNodes - std::min<std::size_t>(1, state.LiveNodes);
  removeExpired(state.Servers.Peers, now);
  detail::refuseQuarantined(ctx);
  std::vector<RequestId> timedOut;
  std::vector<RequestId> stalled;
  std::vector<RequestId> resuming;
  std::vector<ActiveRequest *> waiting;
  for (auto &[id, request] : state.ActiveRequests) {
    if (now.Steady >= request.GiveUp)
      timedOut.push_back(id);
    else if (request.Stage == Stage::WaitingForServer)
      waiting.push_back(&request);
    else if (detail::waitsToResume(request))
      resuming.push_back(id);
    else if (detail::isStalled(request, now))
      stalled.push_back(id);
  }
  std::ranges::sort(waiting, [](const ActiveRequest *a, const ActiveRequest *b) {
    return std::tie(a->Priority, a->Arrived, a->Id) < std::tie(b->Priority, b->Arrived, b->Id);
  });
  for (ActiveRequest *it : waiting) {
    it->DeniedClaims = 0;
    detail::dispatch(ctx, *it);
  }
  for (const RequestId id : resuming)
    if (const auto it = state.ActiveRequests.find(id); it != state.ActiveRequests.end()) {
      it->second.DeniedClaims = 0;
      detail::placeAgain(ctx, it->second);
    }
  for (const RequestId id : stalled)
    if (const auto it = state.ActiveRequests.find(id); it != state.ActiveRequests.end())
      detail::handleStalledCall(ctx, it->second);
  for (const RequestId id : timedOut)
    if (const auto it = state.ActiveRequests.find(id); it != state.ActiveRequests.end()) {
      if (it->second.Call.Id != 0)
        detail::noteTimeout(ctx, it->second);
      detail::refuseTimedOut(ctx, it->second);
    }
}

} // namespace chervil::relay
