// Limits that servers set on their requests. Internal to the package.
#ifndef CHERVIL_RELAY_DETAIL_LIMITS_H
#define CHERVIL_RELAY_DETAIL_LIMITS_H

#include "relay/detail/Context.h"

namespace chervil::relay::detail {

/// Handles what the answer of the current call says about the limit of its server.
void onLimitStated(Context &ctx, const ActiveRequest &request, const StatedLimit &limit);

} // namespace chervil::relay::detail

#endif
