#include "relay/detail/Dispatch.h"

#include "relay/detail/Outcome.h"

#include <algorithm>

namespace chervil::relay::detail {
namespace {

using namespace std::chrono_literals;

// Hint for a caller when a service has no server, about the time in which one starts.
constexpr auto NoServerRetry = 1000ms;
// A request waits for a free server for this part of the time it has before its target is missed.
constexpr double QueuePart = 0.5;
// A send with less time left than this would end without an answer.
constexpr Duration MinRunTime = 30ms;
// Sends of one request that servers rejected without running it.
constexpr unsigned MaxRejectedSends = 3;

unsigned maxInflight(const State &state, const Service &service) {
  if (service.MaxConnections == 0)
    return 0;
  // Connections count for all nodes together; a tenth is left for those that are just closing.
  const double share =
      0.9 * service.MaxConnections / double(std::max<std::size_t>(1, state.LiveNodes));
  return std::max(1U, static_cast<unsigned>(share));
}

const Service *serviceOf(const Ticket &ticket) {
  const auto it = ticket.Configuration->Services.find(ticket.Service);
  return it == ticket.Configuration->Services.end() ? nullptr : &it->second;
}

void send(Context &ctx, Ticket &ticket, const Choice &choice) {
  const Backend &server = *choice.Server;
  State &state = ctx.S;
  ticket.Call = state.NextCall++;
  ticket.Backend = server.Entry.Id;
  ticket.Sent = ctx.Time.Steady;
  ticket.Tried.push_back(server.Entry.Id);
  ticket.Status = 0;
  ticket.IsGenuine = ticket.Began = false;
  ticket.Body.clear();
  ticket.Events = {};
  if (ticket.Stage != Stage::Streaming)
    ticket.Stage = Stage::Running;
  state.Calls.emplace(ticket.Call, ticket.Id);
  ticket.PendingTokens = choice.PendingTokens;
  onStarted(state.Servers, ticket.Backend, ticket.PendingTokens);
  if (!ticket.Info.Prompt.empty())
    onPromptSent(state.Demands[ticket.Service], ticket.PendingTokens, ctx.Time);
  CallBackend call;
  call.Call = ticket.Call;
  call.Request = ticket.Id;
  call.AttemptId = ticket.Info.AttemptId;
  call.Backend = server.Entry.Id;
  call.Address = server.Entry.Address;
  call.Workspace = ticket.Workspace;
  call.HasDeadline = true;
  call.Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(ticket.Deadline - ctx.Time.Steady);
  call.Priority = ticket.Priority;
  call.ResumeAfter = ticket.LastEvent;
  if (choice.Holder != nullptr && choice.Holder != choice.Server)
    call.FetchFrom = choice.Holder->Entry.Address;
  ctx.Out.push_back(std::move(call));
}

Work workOf(const State &state, const Ticket &ticket) {
  Work work;
  work.Service = ticket.Service;
  work.Prompt = ticket.Info.Prompt;
  work.Excluded = ticket.Tried;
  if (const Service *service = serviceOf(ticket))
    work.MaxInflight = maxInflight(state, *service);
  return work;
}

} // namespace

void dispatch(Context &ctx, Ticket &ticket) {
  State &state = ctx.S;
  ticket.Stage = Stage::Queue;
  if (ctx.Time.Steady + MinRunTime > ticket.GiveUp) {
    refuse(ctx, ticket, ResultCode::DeadlineUnreachable, 0ms);
    return;
  }
  const Choice choice = choose(state.Servers, workOf(state, ticket), ctx.Time, ctx.Rng);
  if (choice.Server != nullptr) {
    onFirstSend(state.Retries[ticket.Service], ctx.Time, state.Settings.RetryWindow);
    send(ctx, ticket, choice);
    return;
  }
  if (!hasLive(state.Servers, ticket.Service)) {
    refuse(ctx, ticket, ResultCode::NoBackend, NoServerRetry);
    return;
  }
  const auto patience = std::chrono::duration_cast<Duration>(
      QueuePart * std::min<Duration>(ticket.Path->Target, ticket.GiveUp - ticket.Arrived));
  if (ctx.Time.Steady - ticket.Arrived > patience)
    refuse(ctx, ticket, ResultCode::NodeOverloaded, NoServerRetry);
}

bool repeat(Context &ctx, Ticket &ticket, bool mayHaveRun) {
  State &state = ctx.S;
  if (mayHaveRun && !isIdempotent(*ticket.Path))
    return false;
  const unsigned bound =
      mayHaveRun ? ticket.Path->MaxAttempts : ticket.Path->MaxAttempts + MaxRejectedSends;
  if (ticket.Runs >= ticket.Path->MaxAttempts || ticket.Tried.size() >= bound ||
      ctx.Time.Steady + MinRunTime > ticket.GiveUp)
    return false;
  const Choice choice = choose(state.Servers, workOf(state, ticket), ctx.Time, ctx.Rng);
  if (choice.Server == nullptr)
    return false;
  if (!tryRepeat(state.Retries[ticket.Service], state.Settings, state.LiveNodes, ctx.Time)) {
    ctx.Out.push_back(Count{"retry_refused", "budget"});
    return false;
  }
  ++ticket.Repeats;
  ctx.Out.push_back(Count{"retries", chervil::info(ticket.LastFailure).Name});
  note(ctx, ticket, "retry",
       {{"reason", chervil::info(ticket.LastFailure).Name}, {"to", choice.Server->Entry.Id}});
  endCall(ctx, ticket, false);
  send(ctx, ticket, choice);
  return true;
}

void endCall(Context &ctx, Ticket &ticket, bool cancel) {
  if (ticket.Call == 0)
    return;
  ctx.S.Calls.erase(ticket.Call);
  onEnded(ctx.S.Servers, ticket.Backend, ticket.PendingTokens, ticket.Began);
  if (cancel)
    ctx.Out.push_back(CancelBackend{ticket.Call});
  ticket.Call = 0;
}

void claimMore(Context &ctx, const std::string &workspace, limits::TokenAccount &account) {
  const auto amount = limits::amountToClaim(account, ctx.Time);
  if (!amount)
    return;
  const std::uint64_t seq = ctx.S.NextClaim++;
  limits::onClaimed(account, seq, *amount, ctx.Time);
  ctx.Out.push_back(ClaimTokens{workspace, *amount, seq});
}

} // namespace chervil::relay::detail
