// Final answers of requests. Internal to the package. After each function the ticket is gone.
#ifndef CHERVIL_RELAY_DETAIL_OUTCOME_H
#define CHERVIL_RELAY_DETAIL_OUTCOME_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Refuses with a promise that the request has not run if that is true, and with 502 otherwise.
/// Aborts the answer if a part of it was passed on.
void refuse(Context &ctx, Ticket &ticket, ResultCode code, std::chrono::milliseconds retryAfter);

/// The request's time is over.
void giveUp(Context &ctx, Ticket &ticket);

/// Passes on the whole answer of the present call.
void forward(Context &ctx, Ticket &ticket);

/// Ends a stream that is complete.
void completeStream(Context &ctx, Ticket &ticket);

/// Forgets a ticket. Tokens of a request that did not run go back to its workspace.
void removeTicket(Context &ctx, Ticket &ticket);

} // namespace chervil::relay::detail

#endif
