#include "relay/Relay.h"

#include "relay/detail/Context.h"
#include "relay/detail/Dispatch.h"
#include "relay/detail/Outcome.h"

#include <algorithm>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;
using detail::Context;

// Hint for a caller whose request came before this node had a configuration.
constexpr auto NotReadyRetry = 500ms;
// Hint for a caller that comes to a node about to stop; another node serves it at once.
constexpr auto LeavingRetry = 10ms;

// A workspace's priority goes before the route's, which decides among requests of equal workspaces.
constexpr int RouteRanks = 3;

/// Chooses among the services of a route by weight.
const std::string &serviceOf(const Route &route, Random &rng) {
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

double costOf(const RequestInfo &info, const Workspace &workspace) {
  if (!workspace.CountsTokens)
    return 1;
  return info.HasTokens ? double(info.PromptTokens) + double(info.OutputTokens)
                        : workspace.PlainTokens;
}

/// Refuses a request before a ticket exists.
void refuseAtOnce(Context &ctx, RequestId id, const RequestInfo &info, ResultCode code, int status,
                  std::chrono::milliseconds retryAfter) {
  ctx.Out.push_back(Refuse{id, code, status, retryAfter});
  ctx.Out.push_back(Count{"refused", chervil::info(code).Name});
  ctx.Out.push_back(Note{"refused",
                         info.AttemptId,
                         {{"reason", chervil::info(code).Name},
                          {"status", std::to_string(status)},
                          {"path", info.Path}}});
}

bool isCrashing(const State &state, std::uint64_t contentHash) {
  const auto it = state.Crashes.Deaths.find(contentHash);
  return it != state.Crashes.Deaths.end() && it->second.Backends.size() >= detail::DeathsToRefuse;
}

void startTicket(Context &ctx, Ticket ticket, const Workspace *workspace) {
  State &state = ctx.S;
  const RequestId id = ticket.Id;
  Ticket &it = state.Tickets.emplace(id, std::move(ticket)).first->second;
  if (workspace == nullptr || workspace->Rate <= 0) {
    detail::dispatch(ctx, it);
    return;
  }
  limits::TokenAccount &account = state.Accounts[workspace->Name];
  if (limits::take(account, it.Cost, ctx.Time)) {
    detail::claimMore(ctx, workspace->Name, account);
    detail::dispatch(ctx, it);
    return;
  }
  limits::wait(account, id, it.Cost);
  detail::claimMore(ctx, workspace->Name, account);
}

} // namespace

State makeState(Options options) {
  State state;
  state.Servers.DataCentre = options.DataCentre;
  state.Settings = std::move(options);
  return state;
}

bool configure(State &state, ConfigurationPtr configuration) {
  if (state.Config != nullptr && configuration->Version <= state.Config->Version)
    return false;
  state.Config = std::move(configuration);
  return true;
}

message::BackendLoads ownReport(const State &state, const Now &now) {
  message::BackendLoads out = ownLoads(state.Servers);
  for (const auto &[service, it] : state.Demands)
    out.Demands.push_back({service, static_cast<std::uint32_t>(rate(it, now))});
  return out;
}

std::optional<double> busyServers(const State &state, const std::string &service, std::size_t told,
                                  const Now &now) {
  const auto own = state.Demands.find(service);
  if (own == state.Demands.end() || own->second.TokensPerMs <= 0)
    return std::nullopt;
  double others = 0;
  std::size_t heard = 0;
  for (const auto &[node, said] : state.Servers.PeerLoads) {
    ++heard;
    for (const message::ServiceDemand &it : said.second.Demands)
      others += it.Service == service ? it.TokensPerSecond : 0;
  }
  const std::size_t peers = state.LiveNodes - std::min<std::size_t>(1, state.LiveNodes);
  if (peers > told && heard > 0)
    others *= double(peers) / double(heard);
  return (rate(own->second, now) + others) / (own->second.TokensPerMs * 1000);
}

void onBackendList(State &state, std::span<const BackendEntry> list, bool keepMissing, Effects &out,
                   const Now &now) {
  for (const Departure &it : applyList(state.Servers, list, keepMissing, now)) {
    out.push_back(Note{"backend_leaving", "", {{"backend", it.Id}, {"source", "list"}}});
    out.push_back(Spread{message::BackendNews{it.Id, 0, 1, true, it.Born}});
  }
}

void onBackendNews(State &state, const message::BackendNews &news, Effects &out, const Now &now) {
  if (!news.Leaving || !applyLeaving(state.Servers, {news.Backend, news.Born}, now))
    return;
  out.push_back(Note{"backend_leaving", "", {{"backend", news.Backend}, {"source", "peer"}}});
  out.push_back(Spread{news});
}

void onCrashReport(State &state, const message::CrashReport &report, Effects &out, const Now &now) {
  if (retry::onCrashReport(state.Crashes, report, now))
    out.push_back(Spread{report});
}

void onRequest(State &state, RequestId id, RequestInfo info, TimePoint arrived, Effects &out,
               const Now &now, Random &rng) {
  Context ctx{state, out, now, rng};
  if (state.IsClosed) {
    refuseAtOnce(ctx, id, info, ResultCode::NodeLeaving, 503, LeavingRetry);
    return;
  }
  if (state.Config == nullptr) {
    refuseAtOnce(ctx, id, info, ResultCode::NotReady, 503, NotReadyRetry);
    return;
  }
  const Route *route = findRoute(*state.Config, info.Host, info.Path);
  if (route == nullptr) {
    refuseAtOnce(ctx, id, info, ResultCode::NotFound, 404, 0ms);
    return;
  }
  const Workspace *workspace = nullptr;
  if (!route->Anonymous && !state.Config->Workspaces.empty()) {
    workspace = findWorkspace(*state.Config, info.Key);
    if (workspace == nullptr) {
      refuseAtOnce(ctx, id, info, ResultCode::UnknownCustomerKey, 401, 0ms);
      return;
    }
  }
  if (isCrashing(state, info.ContentHash)) {
    refuseAtOnce(ctx, id, info, ResultCode::Quarantined, 503, 0ms);
    return;
  }
  Ticket ticket;
  ticket.Id = id;
  ticket.Configuration = state.Config;
  ticket.Path = route;
  ticket.Service = serviceOf(*route, rng);
  ticket.Priority = route->Priority;
  if (workspace != nullptr) {
    ticket.Workspace = workspace->Name;
    if (workspace->Priority)
      ticket.Priority =
          RouteRanks * *workspace->Priority + std::min(route->Priority, RouteRanks - 1);
    ticket.Cost = costOf(info, *workspace);
  }
  ticket.Arrived = arrived;
  ticket.Deadline = arrived + info.Deadline.value_or(route->Timeout);
  ticket.GiveUp = std::min(ticket.Deadline, arrived + route->Timeout);
  ticket.Info = std::move(info);
  startTicket(ctx, std::move(ticket), workspace);
}

void onCallerGone(State &state, RequestId id, Effects &out, const Now &now) {
  const auto it = state.Tickets.find(id);
  if (it == state.Tickets.end())
    return;
  Random unused;
  Context ctx{state, out, now, unused};
  Ticket &ticket = it->second;
  detail::note(ctx, ticket, "caller_gone", {});
  detail::endCall(ctx, ticket, true);
  detail::removeTicket(ctx, ticket);
}

void onTokenGrant(State &state, const message::TokenGrant &grant, Effects &out, const Now &now,
                  Random &rng) {
  Context ctx{state, out, now, rng};
  limits::TokenAccount &account = state.Accounts[grant.Workspace];
  const limits::Admissions decided = limits::onGranted(account, grant.Seq, grant.Granted, now);
  for (const std::uint64_t id : decided.Admitted)
    if (const auto it = state.Tickets.find(id); it != state.Tickets.end())
      detail::dispatch(ctx, it->second);
  for (const std::uint64_t id : decided.Refused)
    if (const auto it = state.Tickets.find(id); it != state.Tickets.end())
      detail::refuse(ctx, it->second, ResultCode::LimitTokens,
                     std::max<std::chrono::milliseconds>(grant.RestAfter, detail::MinLimitRetry));
  detail::claimMore(ctx, grant.Workspace, account);
}

void onClaimLost(State &state, const std::string &workspace, Effects &out, const Now &now) {
  Random unused;
  Context ctx{state, out, now, unused};
  limits::TokenAccount &account = state.Accounts[workspace];
  limits::onClaimLost(account);
  detail::claimMore(ctx, workspace, account);
}

void tick(State &state, Effects &out, const Now &now, Random &rng) {
  Context ctx{state, out, now, rng};
  for (auto &[workspace, account] : state.Accounts)
    if (!account.Waiting.empty())
      detail::claimMore(ctx, workspace, account);
  std::vector<RequestId> late;
  std::vector<Ticket *> waiting;
  for (auto &[id, ticket] : state.Tickets) {
    if (now.Steady >= ticket.GiveUp)
      late.push_back(id);
    else if (ticket.Stage == Stage::Queue)
      waiting.push_back(&ticket);
  }
  std::ranges::sort(waiting, [](const Ticket *a, const Ticket *b) {
    return std::tie(a->Priority, a->Arrived, a->Id) < std::tie(b->Priority, b->Arrived, b->Id);
  });
  for (Ticket *it : waiting)
    detail::dispatch(ctx, *it);
  for (const RequestId id : late)
    if (const auto it = state.Tickets.find(id); it != state.Tickets.end())
      detail::giveUp(ctx, it->second);
}

} // namespace chervil::relay
