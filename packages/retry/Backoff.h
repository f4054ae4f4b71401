// Decorrelated jittered backoff, and Retry-After values. Use:
//   Duration last{0};
//   Duration wait = nextDelay(last, rng);   // also stored in last
#ifndef CHERVIL_RETRY_BACKOFF_H
#define CHERVIL_RETRY_BACKOFF_H

#include "base/Random.h"
#include "base/Time.h"

namespace chervil::retry {

inline constexpr Duration MinDelay = std::chrono::milliseconds(50);
inline constexpr Duration MaxDelay = std::chrono::seconds(5);

/// A random time between MinDelay and three times the last delay, at most MaxDelay. `last` is 0
/// before the first retry and is replaced by the result.
Duration nextDelay(Duration &last, Random &rng);

/// Whole seconds for the Retry-After header, rounded up, from 1 to 3600.
int retryAfterSeconds(Duration wait);

/// Retry-After for a refusal without a known time of recovery: 1 to 5 s at random, so that callers
/// refused together do not return together.
Duration randomRetryAfter(Random &rng);

} // namespace chervil::retry

#endif
