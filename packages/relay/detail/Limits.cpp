#include "relay/detail/Limits.h"

#include <cmath>

namespace chervil::relay::detail {
namespace {

// A limit that differs by more than this fraction is logged: it may change with each answer.
constexpr double LoggedChange = 0.1;

std::string formatRate(const std::optional<double> &rate) {
  return rate ? std::to_string(*rate) : "none";
}

/// True if the two limits differ enough for a log line.
bool differ(const std::optional<double> &a, const std::optional<double> &b) {
  if (a.has_value() != b.has_value())
    return true;
  return a && std::abs(*a - *b) > LoggedChange * std::max(*a, *b);
}

void logLimit(Context &ctx, const Backend &server, const std::optional<RequestLimit> &before) {
  const RequestLimit &limit = *server.Limit;
  const std::optional<double> previous = before ? before->PerSecond : std::nullopt;
  if (!differ(previous, limit.PerSecond))
    return;
  LogFields fields{{"backend", server.Entry.Id},
                   {"born", std::to_string(server.Entry.Born)},
                   {"per_second", formatRate(limit.PerSecond)},
                   {"before", formatRate(previous)},
                   {"source", limit.Source == NoticeSource::Answer ? "answer" : "peer"},
                   {"age_ms", formatMillis(ctx.Time.Steady - limit.StatedAt)},
                   {"inflight", std::to_string(server.Inflight)}};
  ctx.Out.push_back(LogRecord{"server_limit", "", std::move(fields)});
}

} // namespace

void onLimitStated(Context &ctx, const ActiveRequest &request, const StatedLimit &limit) {
  Backend *server = find(ctx.S.Servers, request.Backend);
  if (server == nullptr || limit.Type == StatedLimit::Kind::Unknown)
    return;
  const std::optional<RequestLimit> before = server->Limit;
  const bool isLimited = limit.Type == StatedLimit::Kind::Limited;
  // Answers may overtake each other: one to a request that was sent before the last statement
  // arrived may be older than that.
  if (!isLimited && (!before || request.Sent < before->StatedAt))
    return;
  server->Limit = {isLimited ? std::optional(limit.PerSecond) : std::nullopt, ctx.Time.Steady,
                   NoticeSource::Answer};
  logLimit(ctx, *server, before);
}

} // namespace chervil::relay::detail
