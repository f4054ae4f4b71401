// Calls to backend servers that fail or make no progress. Internal to the package.
//
// A stream whose server is silent has two calls for a time: the silent one, and one that asks
// another server to continue the stream. Only the first of them that can is passed on to the
// caller.
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

/// Asks another server to continue the stream if the route allows it and one can be had. If none
/// can, the present call goes on alone, and ends once the caller's patience is over. `request` may
/// no longer exist after the call.
void handleStalledCall(Context &ctx, ActiveRequest &request);

/// Handles the loss of the current call, whose server may have run the request and gave no answer
/// that could be forwarded. `request` may no longer exist after the call.
void onLost(Context &ctx, ActiveRequest &request, ResultCode why);

/// Goes on with the other call of a stream, if there are two, after the current one has failed.
/// Asks the next server if the other call is the silent one. Returns false, and changes nothing, if
/// there is one call only.
bool keepOtherCall(Context &ctx, ActiveRequest &request);

/// Gives up the other call of a stream, if there are two, because the current one can continue it.
void leaveOtherCall(Context &ctx, ActiveRequest &request);

} // namespace chervil::relay::detail

#endif
