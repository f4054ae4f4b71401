// What the parts of request handling share while one event is handled. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_CONTEXT_H
#define CHERVIL_RELAY_DETAIL_CONTEXT_H

#include "relay/Relay.h"

namespace chervil::relay::detail {

struct Context {
  State &S;
  Effects &Out;
  const Now &Time;
  Random &Rng;
};

/// Servers that must have died while running a content before it is refused. Two are not enough:
/// a request that shares two servers with a crashing one would be refused without cause.
inline constexpr std::size_t CrashesToRefuse = 3;
/// Least hint of a refusal by a limit.
inline constexpr std::chrono::milliseconds MinLimitRetryAfter{100};

using LogFields = std::vector<std::pair<const char *, std::string>>;

/// One log line about a ticket, with what it depends on.
void logRequest(Context &ctx, const ActiveRequest &request, const char *event, LogFields values);

} // namespace chervil::relay::detail

#endif
