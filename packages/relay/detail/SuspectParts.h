// Connects the answers of servers with the quarantine of parts of prompts. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_SUSPECTPARTS_H
#define CHERVIL_RELAY_DETAIL_SUSPECTPARTS_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// An answer that goes on for this long after the first byte of its body has begun well: a part of
/// a prompt that crashes servers does so with the first bytes.
inline constexpr Duration AnswerBeginTime = std::chrono::milliseconds(500);

/// Retry-After for requests that crash servers: long after callers of such a request give up.
inline constexpr std::chrono::milliseconds QuarantineRetryAfter = std::chrono::seconds(60);

/// In larger fleets only a break before the first byte counts against a content, and only one
/// shortly after a whole head against a part: the reports of all others overloaded a fleet of 63
/// nodes.
inline constexpr std::size_t SmallFleet = 16;
inline bool isSmallFleet(const State &state) { return state.LiveNodes <= SmallFleet; }

/// Identifies one start of a server, alike on all nodes: a server may start again under its id.
std::string startOf(State &state, const std::string &id);

/// Handles an answer that broke off: if it had just begun, its prompt is suspect.
void onAnswerBroke(Context &ctx, const ActiveRequest &request, bool isInHead);

/// Handles bytes of an answer, or its end: after a good beginning its prompt is not suspect.
void onAnswerProgress(Context &ctx, ActiveRequest &request, bool isComplete);

/// Refuses requests that are quarantined and wait, or that run without an answer so far: their
/// servers would crash together with the answers of other requests.
void refuseQuarantined(Context &ctx);

} // namespace chervil::relay::detail

#endif
