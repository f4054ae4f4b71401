// Constants of the distribution of limits (section 8 of docs/design.md).
#ifndef CHERVIL_LIMITS_TUNING_H
#define CHERVIL_LIMITS_TUNING_H

#include "base/Time.h"

namespace chervil::limits {

/// Part of a limit that the limit home grants.
inline constexpr double GrantedFraction = 0.8;
/// Part of a limit that is split evenly over the nodes.
inline constexpr double FloorFraction = 0.2;
/// Period of demand reports and grants.
inline constexpr Duration ReportInterval = std::chrono::milliseconds(500);
/// Lifetime of a share on a node.
inline constexpr Duration ShareLifetime = std::chrono::seconds(3);
/// The home counts a granted share for longer than its lifetime, because the node's lifetime starts
/// when the grant arrives. A grant that takes longer than this to arrive can cause overshoot.
inline constexpr Duration DeliveryMargin = std::chrono::milliseconds(500);
/// A report that arrives this long after a grant was sent shows that the node has the grant, so
/// that the home stops counting the node's earlier, larger shares before they expire. Connections
/// keep order and fail in both directions together; where one does not, an old share can overshoot
/// until it expires.
inline constexpr Duration AckDelay = std::chrono::milliseconds(300);
/// A report is ignored after this long, so that shares of a node without demand move on.
inline constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);
/// Depth of the token buckets, in time at the full rate of the share or floor.
inline constexpr Duration BurstDuration = std::chrono::seconds(1);

/// Weight of the last interval in the measured demand. Lower weights moved shares too slowly for
/// the target of 2 s.
inline constexpr double DemandSmoothingFactor = 0.7;
/// The floor is split over the most nodes seen live for this long, because nodes of a region out of
/// contact are declared dead but still use their floors. Regions lose contact for an hour.
inline constexpr Duration FloorNodesRetention = std::chrono::hours(2);
/// Greatest retry-after of a refusal.
inline constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

} // namespace chervil::limits

#endif
