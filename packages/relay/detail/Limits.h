// Limits that servers set on the requests of all nodes together. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_LIMITS_H
#define CHERVIL_RELAY_DETAIL_LIMITS_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Handles what the answer of the current call says about the limit of its server.
void onLimitStated(Context &ctx, const ActiveRequest &request, const StatedLimit &limit);

/// Claims the send of a request to a server that has a limit. Not while another claim of this node
/// for the server is pending.
void claimSend(Context &ctx, ActiveRequest &request, const std::string &server);

} // namespace chervil::relay::detail

#endif
