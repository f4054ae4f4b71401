// Final answers of requests. Internal to the package. After each function the ticket is gone.
#ifndef CHERVIL_RELAY_DETAIL_OUTCOME_H
#define CHERVIL_RELAY_DETAIL_OUTCOME_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Refuses with a promise that the request has not run if that is true, and with 502 otherwise.
/// Aborts the answer if a part of it was passed on.
void refuse(Context &ctx, ActiveRequest &request, ResultCode code,
            std::chrono::milliseconds retryAfter);

/// The request's time is over.
void refuseTimedOut(Context &ctx, ActiveRequest &request);

/// Passes on the whole answer of the present call.
void forwardAnswer(Context &ctx, ActiveRequest &request);

/// Ends a stream that is complete.
void completeStream(Context &ctx, ActiveRequest &request);

/// Forgets a ticket. Tokens of a request that did not run go back to its workspace.
void removeRequest(Context &ctx, ActiveRequest &request);

} // namespace chervil::relay::detail

#endif
