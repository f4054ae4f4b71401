// What backend servers answer: heads, bytes and ends of calls.
#include "relay/Relay.h"
#include "relay/detail/Context.h"
#include "relay/detail/Dispatch.h"
#include "relay/detail/Outcome.h"

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;
using detail::Context;

// Hint after all servers that were asked had no room.
constexpr auto FullRetry = 800ms;

Ticket *ticketOf(State &state, CallId call) {
  const auto it = state.Calls.find(call);
  if (it == state.Calls.end())
    return nullptr;
  const auto ticket = state.Tickets.find(it->second);
  return ticket == state.Tickets.end() ? nullptr : &ticket->second;
}

void runBegan(Context &ctx, Ticket &ticket) {
  if (ticket.Began)
    return;
  ticket.Began = true;
  if (ticket.FirstByte == TimePoint{})
    ticket.FirstByte = ctx.Time.Steady;
  if (!ticket.Info.Prompt.empty())
    onPromptRead(ctx.S.Demands[ticket.Service], ticket.PendingTokens,
                 ctx.Time.Steady - ticket.Sent);
  onFirstByte(ctx.S.Servers, ticket.Backend, ticket.PendingTokens, ticket.Info.Prompt);
  // A stream that continues is the same run for its workspace.
  if (!ticket.Workspace.empty() && ticket.LastEvent.empty())
    ctx.Out.push_back(RunBegan{ticket.Workspace});
}

/// The server did not run the request.
void onRejected(Context &ctx, Ticket &ticket, ResultCode why) {
  ticket.LastFailure = why;
  observe(ctx.S.Servers, ticket.Backend, Observation::Full, ctx.Time);
  detail::endCall(ctx, ticket, true);
  if (!detail::repeat(ctx, ticket, false))
    detail::refuse(ctx, ticket, why, FullRetry);
}

/// The server may have run the request, and there is no answer that could be passed on.
void onLost(Context &ctx, Ticket &ticket, ResultCode why) {
  ticket.LastFailure = why;
  ++ticket.Runs;
  observe(ctx.S.Servers, ticket.Backend, Observation::Broken, ctx.Time);
  if (!ticket.Began) {
    const message::CrashReport report = retry::onBackendDied(ctx.S.Crashes, ticket.Info.ContentHash,
                                                             ticket.Backend, false, ctx.Time);
    ctx.Out.push_back(Spread{report});
  }
  detail::endCall(ctx, ticket, true);
  if (!detail::repeat(ctx, ticket, true))
    detail::refuse(ctx, ticket, why, 0ms);
}

void streamEvents(Context &ctx, Ticket &ticket, std::string_view bytes) {
  if (!ticket.Path->Resumable) {
    ctx.Out.push_back(StreamBytes{ticket.Id, std::string(bytes)});
    return;
  }
  std::string whole;
  for (const std::string &event : split(ticket.Events, bytes)) {
    const std::string_view id = eventId(event);
    if (!id.empty() && isRepeated(id, ticket.LastEvent))
      continue;
    if (!id.empty())
      ticket.LastEvent = id;
    whole += event;
  }
  if (!whole.empty())
    ctx.Out.push_back(StreamBytes{ticket.Id, std::move(whole)});
}

bool isStreamed(const Ticket &ticket) {
  return ticket.Path->Kind == WorkKind::Stream && ticket.IsGenuine && ticket.Status == 200;
}

void onWhole(Context &ctx, Ticket &ticket) {
  if (isStreamed(ticket)) {
    observe(ctx.S.Servers, ticket.Backend, Observation::Success, ctx.Time);
    ++ticket.Runs;
    if (!ticket.Events.Partial.empty())
      ctx.Out.push_back(StreamBytes{ticket.Id, std::move(ticket.Events.Partial)});
    detail::completeStream(ctx, ticket);
    return;
  }
  if (!ticket.IsGenuine) {
    onLost(ctx, ticket, ResultCode::BackendBadAnswer);
    return;
  }
  // Statuses that promise callers that a request did not run are not passed on from a server that
  // does not say so.
  const bool promises =
      ticket.Status == 503 || ticket.Status == 429 || ticket.Status == 408 || ticket.Status == 421;
  if (ticket.Status >= 500 || promises) {
    ticket.LastFailure = ResultCode::BackendRefused;
    observe(ctx.S.Servers, ticket.Backend, Observation::ServerError, ctx.Time);
    ++ticket.Runs;
    if (detail::repeat(ctx, ticket, true))
      return;
    if (promises || ticket.Stage == Stage::Streaming) {
      detail::refuse(ctx, ticket, ResultCode::BackendRefused, 0ms);
      return;
    }
    detail::forward(ctx, ticket);
    return;
  }
  observe(ctx.S.Servers, ticket.Backend, Observation::Success, ctx.Time);
  ++ticket.Runs;
  if (ticket.Stage == Stage::Streaming)
    detail::refuse(ctx, ticket, ResultCode::BackendBadAnswer, 0ms);
  else
    detail::forward(ctx, ticket);
}

} // namespace

void onBackendHead(State &state, CallId call, const BackendHead &head, Effects &out, const Now &now,
                   Random &rng) {
  Ticket *ticket = ticketOf(state, call);
  if (ticket == nullptr)
    return;
  Context ctx{state, out, now, rng};
  if (head.NotRun || head.WrongServer) {
    if (head.Status == 400 && head.IsGenuine) {
      ticket->Status = head.Status;
      ticket->IsGenuine = true;
      return;
    }
    onRejected(ctx, *ticket,
               head.WrongServer ? ResultCode::BackendConnectFailed : ResultCode::BackendRefused);
    return;
  }
  ticket->Status = head.Status;
  ticket->IsGenuine = head.IsGenuine;
  if (isStreamed(*ticket) && ticket->Stage != Stage::Streaming) {
    ticket->Stage = Stage::Streaming;
    out.push_back(BeginStream{ticket->Id, call});
  }
}

void onBackendBytes(State &state, CallId call, std::string_view bytes, Effects &out,
                    const Now &now) {
  Ticket *ticket = ticketOf(state, call);
  if (ticket == nullptr)
    return;
  Random unused;
  Context ctx{state, out, now, unused};
  runBegan(ctx, *ticket);
  if (isStreamed(*ticket))
    streamEvents(ctx, *ticket, bytes);
  else
    ticket->Body.append(bytes);
}

void onBackendEnd(State &state, CallId call, BackendEnd end, Effects &out, const Now &now,
                  Random &rng) {
  Ticket *ticket = ticketOf(state, call);
  if (ticket == nullptr)
    return;
  Context ctx{state, out, now, rng};
  switch (end) {
  case BackendEnd::Whole:
    onWhole(ctx, *ticket);
    return;
  case BackendEnd::NotSent:
    observe(state.Servers, ticket->Backend, Observation::Broken, now);
    onRejected(ctx, *ticket, ResultCode::BackendConnectFailed);
    return;
  case BackendEnd::Broken:
    onLost(ctx, *ticket,
           ticket->Status != 0 ? ResultCode::BackendBadAnswer : ResultCode::BackendDied);
    return;
  }
}

} // namespace chervil::relay
