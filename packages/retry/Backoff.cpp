#include "retry/Backoff.h"

#include <algorithm>

namespace chervil::retry {

Duration nextDelay(Duration &last, Random &rng) {
  const Duration top = std::min(MaxDelay, 3 * std::clamp(last, MinDelay, MaxDelay));
  std::uniform_int_distribution<Duration::rep> pick(MinDelay.count(), top.count());
  last = Duration(pick(rng));
  return last;
}

int retryAfterSeconds(Duration wait) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
  return static_cast<int>(std::clamp<std::chrono::seconds::rep>(seconds, 1, 3600));
}

Duration randomRetryAfter(Random &rng) {
  std::uniform_int_distribution<Duration::rep> pick(Duration(std::chrono::seconds(1)).count(),
                                                    MaxDelay.count());
  return Duration(pick(rng));
}

} // namespace chervil::retry
