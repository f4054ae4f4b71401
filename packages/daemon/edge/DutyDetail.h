// What the files about duties share. Internal to the daemon.
#ifndef CHERVIL_DAEMON_EDGE_DUTYDETAIL_H
#define CHERVIL_DAEMON_EDGE_DUTYDETAIL_H

#include "daemon/edge/EdgeDetail.h"

#include "platform/DutyCalls.h"
#include "platform/StoreCalls.h"

#include <functional>
#include <string>

namespace chervil::daemon::detail {

// Own keys in the store. OwnItems mirrors the prefix of the first two only: a watch returns at each
// change, and the others change every second.
inline constexpr const char *HolderKey = "chervil/duty/holder";
/// The node that last claimed the duty. It outlives HolderKey, which goes with its lease.
inline constexpr const char *LastHolderKey = "chervil/duty/last";
inline constexpr const char *RecordKey = "chervil/usage/last";
inline constexpr const char *BookKey = "chervil/usage/counts";

/// This node as the holder of the duty.
adapter::DutyHolder holderOf(const Edge &edge);

/// Calls the platform as the holder of the duty. The call ends before the lease can expire, and the
/// lease is not revoked before the call has ended. If this node does not hold the duty any more,
/// nothing is sent and `onAnswer` is called at once.
void callAsHolder(Edge &edge, http::Call what, OnAnswer onAnswer);

/// Reports usage while this node holds the duty (EdgeUsage.cpp).
void tickUsage(Edge &edge);

/// Orders backend servers while this node holds the duty and knows which there are
/// (EdgeOrders.cpp).
void tickOrders(Edge &edge);

/// Conducts rollouts of versions while this node holds the duty (EdgeRolloutHolder.cpp).
void tickRollouts(Edge &edge);

} // namespace chervil::daemon::detail

#endif
