// Ends calls to backend servers whose answer has begun and makes no progress. Internal to the
// package.
#ifndef CHERVIL_RELAY_DETAIL_BACKENDCALLS_H
#define CHERVIL_RELAY_DETAIL_BACKENDCALLS_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// A stream without data for this long is stalled, or for this many latency targets or gap targets
/// of its route if that is longer. Callers leave after the same time.
inline constexpr Duration MinStallTimeout = std::chrono::seconds(2);
inline constexpr int StallTargets = 4;
inline constexpr int StallGaps = 8;

/// Time without data after which the callers of a route leave.
Duration callerPatience(const Route &route);

/// Time without data after which the streams of a route are stalled: half of the callers' patience
/// if another server can continue the stream, so that this happens before the caller leaves.
Duration stallTimeout(const Route &route);

/// True if the answer of the current call has begun and made no progress for stallTimeout().
bool isStalled(const ActiveRequest &request, const Now &now);

/// Lets another server continue the stream if the route allows it and one can be had. If none can,
/// the present call goes on, and the stream is aborted once the caller's patience is over.
/// `request` may no longer exist after the call.
void handleStalledCall(Context &ctx, ActiveRequest &request);

} // namespace chervil::relay::detail

#endif
