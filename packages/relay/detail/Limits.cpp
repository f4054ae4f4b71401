#include "relay/detail/Limits.h"

#include "relay/detail/Dispatch.h"

#include <algorithm>
#include <random>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;
using detail::Context;

// A limit that changes by at most this factor is not logged: servers may state another one with
// each answer.
constexpr double UnloggedFactor = 1.5;
// A peer's statement arrives this much later than its age tells, at most. It replaces an opposite
// one only if it is certainly newer.
constexpr Duration TransferTime = 50ms;
// A denied claim is repeated up to this fraction later, so that nodes do not claim in step.
constexpr double RetryJitter = 0.25;

std::string formatRate(const std::optional<double> &rate) {
  return rate ? std::to_string(*rate) : "none";
}

bool isWorthLogging(const std::optional<double> &before, const std::optional<double> &after) {
  if (before.has_value() != after.has_value())
    return true;
  return after && std::max(*before, *after) > UnloggedFactor * std::min(*before, *after);
}

message::BackendLimit toMessage(const Backend &server, const Now &now) {
  const RequestLimit &limit = *server.Limit;
  return {server.Entry.Id, server.Entry.Born, limit.PerSecond.has_value(),
          limit.PerSecond.value_or(0),
          std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady - limit.StatedAt)};
}

void logLimit(Effects &out, const Backend &server, const std::optional<double> &before,
              const Now &now) {
  const RequestLimit &limit = *server.Limit;
  out.push_back(LogRecord{"server_limit",
                          "",
                          {{"backend", server.Entry.Id},
                           {"born", std::to_string(server.Entry.Born)},
                           {"per_second", formatRate(limit.PerSecond)},
                           {"before", formatRate(before)},
                           {"source", limit.Source == NoticeSource::Answer ? "answer" : "peer"},
                           {"age_ms", detail::formatMillis(now.Steady - limit.StatedAt)},
                           {"inflight", std::to_string(server.Inflight)}}});
}

/// Replaces what is known about the limit of a server. Returns true if a limit begins or ends,
/// which peers should learn. The limit home learns other changes from claims.
bool setLimit(Backend &server, const RequestLimit &limit, Effects &out, const Now &now) {
  const std::optional<double> before = server.Limit ? server.Limit->PerSecond : std::nullopt;
  server.Limit = limit;
  if (!limit.PerSecond)
    server.ClaimDeniedUntil = {};
  if (isWorthLogging(before, limit.PerSecond))
    logLimit(out, server, before, now);
  return before.has_value() != limit.PerSecond.has_value();
}

/// Merges a statement that another node received. Returns true if it is news to this node.
bool mergeLimit(State &state, const message::BackendLimit &from, Effects &out, const Now &now) {
  Backend *server = find(state.Servers, from.Backend);
  if (server == nullptr || server->Entry.Born != from.Born)
    return false;
  RequestLimit limit{from.Limited ? std::optional(from.PerSecond) : std::nullopt,
                     now.Steady - from.Age, NoticeSource::Peer};
  if (server->Limit) {
    const bool isOpposite = server->Limit->PerSecond.has_value() != from.Limited;
    const Duration margin = isOpposite ? TransferTime : Duration{0};
    if (limit.StatedAt <= server->Limit->StatedAt + margin)
      return false;
  }
  return setLimit(*server, limit, out, now);
}

/// Removes a claim that was answered or lost. Returns its request, or null if that has ended.
ActiveRequest *endClaim(State &state, std::uint64_t seq, const PendingSendClaim &claim) {
  if (Backend *server = find(state.Servers, claim.Backend))
    server->ClaimPending = false;
  const auto request = state.ActiveRequests.find(claim.Request);
  state.SendClaims.erase(seq);
  if (request == state.ActiveRequests.end() || request->second.SendClaim != seq)
    return nullptr;
  request->second.SendClaim = 0;
  return &request->second;
}

void denyUntil(Context &ctx, const std::string &id, std::chrono::milliseconds retryAfter) {
  Backend *server = find(ctx.S.Servers, id);
  if (server == nullptr)
    return;
  std::uniform_real_distribution<double> jitter(1, 1 + RetryJitter);
  server->ClaimDeniedUntil =
      ctx.Time.Steady + std::chrono::duration_cast<Duration>(retryAfter * jitter(ctx.Rng));
}

} // namespace

namespace detail {

void onLimitStated(Context &ctx, const ActiveRequest &request, const StatedLimit &stated) {
  Backend *server = find(ctx.S.Servers, request.Call.Backend);
  if (server == nullptr || stated.Type == StatedLimit::Kind::Unknown)
    return;
  const bool isLimited = stated.Type == StatedLimit::Kind::Limited;
  // Answers may overtake each other: one to a request that was sent before the last statement
  // arrived may be older than that.
  if (!isLimited && (!server->Limit || request.Call.Sent < server->Limit->StatedAt))
    return;
  const RequestLimit limit{isLimited ? std::optional(stated.PerSecond) : std::nullopt,
                           ctx.Time.Steady, NoticeSource::Answer};
  if (setLimit(*server, limit, ctx.Out, ctx.Time))
    ctx.Out.push_back(Gossip{message::BackendLimits{{toMessage(*server, ctx.Time)}}});
}

void claimSend(Context &ctx, ActiveRequest &request, const std::string &id) {
  Backend &server = *find(ctx.S.Servers, id);
  const std::uint64_t seq = ctx.S.NextClaim++;
  request.SendClaim = seq;
  server.ClaimPending = true;
  ctx.S.SendClaims[seq] = {request.Id, id, ctx.Time.Steady};
  const message::BackendLimit limit = toMessage(server, ctx.Time);
  ctx.Out.push_back(ClaimSend{{id, limit.Born, seq, limit.PerSecond, limit.Age, false}});
}

} // namespace detail

void onBackendLimits(State &state, const message::BackendLimits &limits, Effects &out,
                     const Now &now) {
  message::BackendLimits news;
  for (const message::BackendLimit &it : limits.Limits)
    if (mergeLimit(state, it, out, now))
      news.Limits.push_back(it);
  if (!news.Limits.empty())
    out.push_back(Gossip{std::move(news)});
}

message::BackendLimits reportLimits(const State &state, std::span<const std::string> ids,
                                    const Now &now) {
  message::BackendLimits out;
  for (const std::string &id : ids) {
    const auto it = state.Servers.Servers.find(id);
    if (it != state.Servers.Servers.end() && isLimited(it->second))
      out.Limits.push_back(toMessage(it->second, now));
  }
  return out;
}

std::optional<double> limitOfClaim(State &state, const message::SendClaim &claim, Effects &out,
                                   const Now &now) {
  mergeLimit(state, {claim.Backend, claim.Born, true, claim.PerSecond, claim.Age}, out, now);
  const Backend *server = find(state.Servers, claim.Backend);
  if (server == nullptr || server->Entry.Born != claim.Born || !server->Limit)
    return claim.PerSecond;
  return server->Limit->PerSecond;
}

void onSendGrant(State &state, const message::SendGrant &grant, Effects &out, const Now &now,
                 Random &rng) {
  const auto it = state.SendClaims.find(grant.Seq);
  if (it == state.SendClaims.end())
    return;
  Context ctx{state, out, now, rng};
  const PendingSendClaim claim = it->second;
  ActiveRequest *request = endClaim(state, grant.Seq, claim);
  if (!grant.Granted)
    denyUntil(ctx, claim.Backend, grant.RetryAfter);
  if (request == nullptr) {
    out.push_back(IncrementCounter{"send_claims", grant.Granted ? "unused" : "denied"});
    return;
  }
  const char *outcome = grant.Granted ? "granted" : "denied";
  out.push_back(IncrementCounter{"send_claims", outcome});
  out.push_back(LogRecord{"send_claim",
                          request->Info.AttemptId,
                          {{"outcome", outcome},
                           {"backend", claim.Backend},
                           {"took_ms", detail::formatMillis(now.Steady - claim.ClaimedAt)},
                           {"retry_after_ms", std::to_string(grant.RetryAfter.count())},
                           {"age_ms", detail::formatMillis(now.Steady - request->Arrived)}}});
  if (grant.Granted) {
    detail::sendClaimed(ctx, *request, claim.Backend);
    return;
  }
  ++request->DeniedClaims;
  detail::placeAgain(ctx, *request);
}

void onSendClaimLost(State &state, std::uint64_t seq, Effects &out, const Now &now, Random &rng) {
  const auto it = state.SendClaims.find(seq);
  if (it == state.SendClaims.end())
    return;
  Context ctx{state, out, now, rng};
  out.push_back(IncrementCounter{"send_claims", "lost"});
  const PendingSendClaim claim = it->second;
  if (ActiveRequest *request = endClaim(state, seq, claim))
    detail::placeAgain(ctx, *request);
}

} // namespace chervil::relay
