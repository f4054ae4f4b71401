// This node's share of the repeats that operators allow per service. Use:
//   onFirstSend(share, now);
//   if (tryAcquireRetry(share, options, liveNodes, now)) sendAgain();
#ifndef CHERVIL_RELAY_RETRYSHARE_H
#define CHERVIL_RELAY_RETRYSHARE_H

#include "base/Time.h"
#include "relay/Options.h"

#include <cstddef>
#include <deque>

namespace chervil::relay {

struct RetryShare {
  std::deque<TimePoint> FirstSends;
  std::deque<TimePoint> Retries;
};

void onFirstSend(RetryShare &share, const Now &now, std::chrono::milliseconds window);

/// Counts a repeat if the share has room: the ratio of this node's own requests in the window plus
/// its part of the slack. The shares of all nodes add up to what is allowed without any message.
bool tryAcquireRetry(RetryShare &share, const Options &options, std::size_t liveNodes,
                     const Now &now);

} // namespace chervil::relay

#endif
