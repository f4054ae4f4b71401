#include "relay/RetryShare.h"

#include <algorithm>

namespace chervil::relay {
namespace {

// Fraction of the budget that is used. The margin is needed because the windows of the nodes are
// not aligned, and a node that restarts forgets its retries.
constexpr double UsedFraction = 0.8;

void forgetOld(std::deque<TimePoint> &times, TimePoint before) {
  while (!times.empty() && times.front() < before)
    times.pop_front();
}

} // namespace

void onFirstSend(RetryShare &share, const Now &now, std::chrono::milliseconds window) {
  forgetOld(share.FirstSends, now.Steady - window);
  share.FirstSends.push_back(now.Steady);
}

bool tryAcquireRetry(RetryShare &share, const Options &options, std::size_t liveNodes,
                     const Now &now) {
  forgetOld(share.FirstSends, now.Steady - options.RetryWindow);
  forgetOld(share.Retries, now.Steady - options.RetryWindow);
  const double nodes = static_cast<double>(std::max<std::size_t>(1, liveNodes));
  const double allowed =
      UsedFraction * (options.RetryRatio * static_cast<double>(share.FirstSends.size()) +
                      options.RetrySlack / nodes);
  if (static_cast<double>(share.Retries.size()) + 1 > allowed)
    return false;
  share.Retries.push_back(now.Steady);
  return true;
}

} // namespace chervil::relay
