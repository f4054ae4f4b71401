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

void refuseWith(Context &ctx, Ticket &ticket, ResultCode code, int status,
                std::chrono::milliseconds retryAfter) {
  const char *reason = chervil::info(code).Name;
  ctx.Out.push_back(Count{"refused", reason});
  note(ctx, ticket, ticket.Stage == Stage::Streaming ? "aborted" : "refused",
       {{"reason", reason}, {"status", std::to_string(status)}});
  endCall(ctx, ticket, true);
  if (ticket.Stage == Stage::Streaming)
    ctx.Out.push_back(AbortStream{ticket.Id});
  else
    ctx.Out.push_back(Refuse{ticket.Id, code, status, retryAfter});
  removeTicket(ctx, ticket);
}

} // namespace

void note(Context &ctx, const Ticket &ticket, const char *event, NoteValues values) {
  values.emplace_back("route", ticket.Path->Name);
  values.emplace_back("workspace", ticket.Workspace);
  values.emplace_back("backend", ticket.Backend);
  values.emplace_back("runs", std::to_string(ticket.Runs));
  values.emplace_back("sends", std::to_string(ticket.Tried.size()));
  if (ticket.FirstByte != TimePoint{})
    values.emplace_back("first_byte_ms", millis(ticket.FirstByte - ticket.Arrived));
  if (const auto part = sharedPartOf(ticket.Info.Prompt)) {
    values.emplace_back("shared_part", std::to_string(*part));
    values.emplace_back("shared_tokens", std::to_string(sharedTokensOf(ticket.Info.Prompt)));
    values.emplace_back("prompt_tokens", std::to_string(ticket.Info.PromptTokens));
  }
  values.emplace_back("age_ms", millis(ctx.Time.Steady - ticket.Arrived));
  values.emplace_back("left_ms", millis(ticket.Deadline - ctx.Time.Steady));
  values.emplace_back("config", std::to_string(ticket.Configuration->Version));
  ctx.Out.push_back(Note{event, ticket.Info.AttemptId, std::move(values)});
}

void refuse(Context &ctx, Ticket &ticket, ResultCode code, std::chrono::milliseconds retryAfter) {
  const bool isLimit = code == ResultCode::LimitTokens || code == ResultCode::LimitRequests;
  const int status = ticket.Runs > 0 ? UnknownStatus : isLimit ? LimitStatus : NotRunStatus;
  refuseWith(ctx, ticket, code, status,
             ticket.Runs > 0 ? std::chrono::milliseconds{0} : retryAfter);
}

void giveUp(Context &ctx, Ticket &ticket) {
  // A call under way may have begun to run.
  if (ticket.Call != 0)
    ++ticket.Runs;
  const bool mayHaveRun = ticket.Runs > 0;
  refuseWith(ctx, ticket, mayHaveRun ? ResultCode::BackendTimeout : ResultCode::DeadlineUnreachable,
             mayHaveRun ? TimeoutStatus : NotRunStatus, std::chrono::milliseconds{0});
}

void forward(Context &ctx, Ticket &ticket) {
  ctx.Out.push_back(Count{"answered", ticket.Status < 400 ? "success" : "backend_failure"});
  note(ctx, ticket, "answered", {{"status", std::to_string(ticket.Status)}});
  ctx.Out.push_back(ForwardAnswer{ticket.Id, ticket.Call, std::move(ticket.Body)});
  endCall(ctx, ticket, false);
  removeTicket(ctx, ticket);
}

void completeStream(Context &ctx, Ticket &ticket) {
  ctx.Out.push_back(Count{"answered", "stream"});
  note(ctx, ticket, "answered", {{"status", std::to_string(ticket.Status)}});
  ctx.Out.push_back(EndStream{ticket.Id});
  endCall(ctx, ticket, false);
  removeTicket(ctx, ticket);
}

void removeTicket(Context &ctx, Ticket &ticket) {
  if (!ticket.Workspace.empty()) {
    const auto it = ctx.S.Accounts.find(ticket.Workspace);
    if (it != ctx.S.Accounts.end()) {
      limits::forget(it->second, ticket.Id);
      if (ticket.Stage != Stage::Limit && ticket.Runs == 0 && ticket.Cost > 0)
        limits::giveBack(it->second, ticket.Cost);
    }
  }
  ctx.S.Tickets.erase(ticket.Id);
}

} // namespace chervil::relay::detail
