// Exponential backoff with decorrelated jitter, and values for the Retry-After header. Use:
//   Duration last{0};
//   Duration wait = nextDelay(last, rng);   // also stored in last
#ifndef CHERVIL_RETRY_BACKOFF_H
#define CHERVIL_RETRY_BACKOFF_H

#include "base/Random.h"
#include "base/Time.h"

namespace chervil::retry {

/// Shortest delay before a retry, and the base of the backoff.
inline constexpr Duration MinDelay = std::chrono::milliseconds(50);
/// Longest delay before a retry, and longest result of randomRetryAfter().
inline constexpr Duration MaxDelay = std::chrono::seconds(5);

/// Returns a random delay between MinDelay and three times the previous delay, capped at MaxDelay.
/// `last` holds the previous delay, 0 before the first retry, and is set to the result.
Duration nextDelay(Duration &last, Random &rng);

/// Converts a wait to whole seconds for the Retry-After header: rounded up and clamped to 1 to
/// 3600.
int retryAfterSeconds(Duration wait);

/// Returns a random Retry-After between 1 s and MaxDelay, for refusals whose time of recovery is
/// not known. The jitter keeps callers that were refused together from retrying together.
Duration randomRetryAfter(Random &rng);

} // namespace chervil::retry

#endif
