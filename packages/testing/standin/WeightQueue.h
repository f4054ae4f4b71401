// Rate limit of the weight store: transfers run one after another. Use:
//   auto end = queueTransfer(queue, bytes, now);   // nothing: too many wait
#ifndef CHERVIL_TESTING_STANDIN_WEIGHTQUEUE_H
#define CHERVIL_TESTING_STANDIN_WEIGHTQUEUE_H

#include "base/Time.h"

#include <deque>
#include <optional>

namespace chervil::standin {

struct WeightQueue {
  double BytesPerSecond = 1e9;
  std::size_t MaxWaiting = 4;
  /// Ends of the transfers that run or wait, in order.
  std::deque<TimePoint> Ends;
};

inline std::optional<TimePoint> queueTransfer(WeightQueue &queue, double bytes, TimePoint now) {
  while (!queue.Ends.empty() && queue.Ends.front() <= now)
    queue.Ends.pop_front();
  // The first one is running.
  if (queue.Ends.size() > queue.MaxWaiting)
    return std::nullopt;
  const TimePoint begin = queue.Ends.empty() ? now : queue.Ends.back();
  const auto length = std::chrono::duration<double>(bytes / queue.BytesPerSecond);
  queue.Ends.push_back(begin + std::chrono::duration_cast<Duration>(length));
  return queue.Ends.back();
}

/// Time until the next transfer ends, in whole seconds, at least 1.
inline std::chrono::seconds retryAfter(const WeightQueue &queue, TimePoint now) {
  if (queue.Ends.empty())
    return std::chrono::seconds(1);
  return std::max(std::chrono::seconds(1),
                  std::chrono::ceil<std::chrono::seconds>(queue.Ends.front() - now));
}

} // namespace chervil::standin

#endif
