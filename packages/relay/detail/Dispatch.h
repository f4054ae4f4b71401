// Sends requests to backend servers. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_DISPATCH_H
#define CHERVIL_RELAY_DETAIL_DISPATCH_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Sends an admitted request to a server, leaves it waiting for one, or refuses it. `request` may
/// no longer exist afterwards.
void dispatch(Context &ctx, ActiveRequest &request);

/// Sends a request to another server after a failure, if that is allowed, and ends the current call
/// if there is one. `mayHaveRun` tells whether the failed send may have run. Returns false if it is
/// not allowed; the request and its call are unchanged then.
bool retryRequest(Context &ctx, ActiveRequest &request, bool mayHaveRun);

/// Asks another server to continue a stream whose server is silent. The present call stays open as
/// ActiveRequest::SilentCall. Returns false, and changes nothing, if that is not allowed now or no
/// server can be had.
bool askAnotherServer(Context &ctx, ActiveRequest &request);

/// Sends a request whose claim was granted. Places it again if its server has gone meanwhile.
void sendClaimed(Context &ctx, ActiveRequest &request, const std::string &server);

/// Places a request again whose claim was denied or lost. `request` may no longer exist afterwards.
void placeAgain(Context &ctx, ActiveRequest &request);

/// True if a stream that broke off waits for a server that can continue it.
bool waitsToResume(const ActiveRequest &request);

/// Ends the current call of a request, if any, when it is known whether its server ran the request.
/// `cancel` also cancels it at the server.
void endCall(Context &ctx, ActiveRequest &request, bool cancel);

/// Cancels the current call of a request, or the silent one, if any. Its server may have run the
/// request.
void cancelCall(Context &ctx, ActiveRequest &request);
void cancelSilentCall(Context &ctx, ActiveRequest &request);

/// Claims tokens for a workspace from the home node of its rate limit, if the account needs any.
void claimTokensIfNeeded(Context &ctx, const std::string &workspace, limits::TokenAccount &account);

} // namespace chervil::relay::detail

#endif
