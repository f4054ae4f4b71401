// Sends requests to backend servers. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_DISPATCH_H
#define CHERVIL_RELAY_DETAIL_DISPATCH_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Sends an admitted request to a server, lets it wait for one, or refuses it. The ticket may be
/// gone afterwards.
void dispatch(Context &ctx, ActiveRequest &request);

/// Sends a request once more after a failure if that is allowed. `mayHaveRun` tells whether the
/// failed send may have run. Ends the present call, if there still is one. Returns false if it is
/// not allowed; the ticket and its call are unchanged then.
bool retryRequest(Context &ctx, ActiveRequest &request, bool mayHaveRun);

/// Ends the present call of a ticket, if any; `cancel` also closes it.
void endCall(Context &ctx, ActiveRequest &request, bool cancel);

/// Claims tokens of a workspace's limit from its home if they are needed.
void claimTokensIfNeeded(Context &ctx, const std::string &workspace, limits::TokenAccount &account);

} // namespace chervil::relay::detail

#endif
