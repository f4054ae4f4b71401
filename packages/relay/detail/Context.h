// State shared by the functions that handle one event. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_CONTEXT_H
#define CHERVIL_RELAY_DETAIL_CONTEXT_H

#include "relay/Relay.h"

namespace chervil::relay::detail {

/// Parameters of the event that is being handled.
struct Context {
  State &S;
  Effects &Out;
  const Now &Time;
  Random &Rng;
};

/// Number of servers that must have crashed while running a content before it is refused. Two are
/// not enough: a request that shared two servers with a crashing one would be refused without
/// cause.
inline constexpr std::size_t CrashesToRefuse = 3;
/// Smallest Retry-After of a refusal by a rate limit.
inline constexpr std::chrono::milliseconds MinLimitRetryAfter{100};

/// Names, which are literals, and values.
using LogFields = std::vector<std::pair<const char *, std::string>>;

/// Appends a log record about a request with the given fields, followed by the properties of the
/// request.
void logRequest(Context &ctx, const ActiveRequest &request, const char *event, LogFields fields);

/// Appends the log record of a departure that is new to this node, and counts it. `source` tells
/// where this node learned it from: "list", "answer" or "peer".
void logDeparture(Effects &out, const message::BackendDeparture &departure, const char *source);

/// Whole milliseconds, for log records.
std::string formatMillis(Duration d);

} // namespace chervil::relay::detail

#endif
