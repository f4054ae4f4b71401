// Functions that complete a request and remove it: `request` no longer exists after the call.
// Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_OUTCOME_H
#define CHERVIL_RELAY_DETAIL_OUTCOME_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Refuses a request. The status tells the caller that the request did not run if that is certain,
/// and is 502 otherwise. If part of the answer was already forwarded, the stream is aborted
/// instead. Open calls are cancelled and count as runs.
void refuse(Context &ctx, ActiveRequest &request, ResultCode code,
            std::chrono::milliseconds retryAfter);

/// Refuses a request that timed out: with 504 if it may have run, with 503 otherwise. Open calls
/// are cancelled and count as runs.
void refuseTimedOut(Context &ctx, ActiveRequest &request);

/// Forwards the complete answer of the current call.
void forwardAnswer(Context &ctx, ActiveRequest &request);

/// Ends a streamed answer that is complete.
void completeStream(Context &ctx, ActiveRequest &request);

/// Removes a request without answering it, and cancels its open calls. If it certainly did not run,
/// its tokens are returned to its workspace: a request that a server may have begun is paid for,
/// however it ends.
void removeRequest(Context &ctx, ActiveRequest &request);

} // namespace chervil::relay::detail

#endif
