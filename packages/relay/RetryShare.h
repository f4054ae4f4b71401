// This node's share of the retry budget of a service. Use:
//   onFirstSend(share, now, options.RetryWindow);
//   if (tryAcquireRetry(share, options, liveNodes, now)) sendAgain();
#ifndef CHERVIL_RELAY_RETRYSHARE_H
#define CHERVIL_RELAY_RETRYSHARE_H

#include "base/Time.h"
#include "relay/Options.h"

#include <cstddef>
#include <deque>

namespace chervil::relay {

/// First sends and retries of one service on this node within the window.
struct RetryShare {
  std::deque<TimePoint> FirstSends;
  std::deque<TimePoint> Retries;
};

/// Counts the first send of a request, which earns RetryRatio of a retry.
void onFirstSend(RetryShare &share, const Now &now, std::chrono::milliseconds window);

/// Takes one retry from the share; returns false if none is left. The share is RetryRatio times
/// this node's first sends in the window, plus RetrySlack divided by the number of live nodes. The
/// shares of all nodes add up to the budget without any communication.
bool tryAcquireRetry(RetryShare &share, const Options &options, std::size_t liveNodes,
                     const Now &now);

} // namespace chervil::relay

#endif
