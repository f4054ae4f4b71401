// Constants for distributing customer limits over nodes (section 8 of docs/design.md).
#ifndef CHERVIL_LIMITS_TUNING_H
#define CHERVIL_LIMITS_TUNING_H

#include "base/Time.h"

namespace chervil::limits {

/// Fraction of a limit that its limit home hands out to nodes as shares, in proportion to demand.
inline constexpr double GrantedFraction = 0.8;
/// Fraction of a limit that is split evenly over all nodes. A node may use its part (the floor)
/// without a grant.
inline constexpr double FloorFraction = 0.2;
/// Interval at which nodes report demand and limit homes send grants.
inline constexpr Duration ReportInterval = std::chrono::milliseconds(500);
/// How long a node may use a share after the grant arrived.
inline constexpr Duration ShareLifetime = std::chrono::seconds(3);
/// The home counts a granted share as in use for this much longer than its lifetime, because the
/// lifetime on the node starts only when the grant arrives. If a grant takes longer than this to
/// arrive, the nodes together can exceed the limit.
inline constexpr Duration DeliveryMargin = std::chrono::milliseconds(500);
/// A report received at least this long after a grant was sent is taken as an acknowledgement of
/// that grant. The home then stops counting the node's earlier, possibly larger shares before they
/// expire. This assumes that connections preserve order and fail in both directions together;
/// otherwise an old share can cause the limit to be exceeded until it expires.
inline constexpr Duration AckDelay = std::chrono::milliseconds(300);
/// Reports older than this are discarded, so that the share of a node without demand becomes
/// available to other nodes.
inline constexpr Duration ReportLifetime = std::chrono::milliseconds(1500);
/// Capacity of the token buckets, as time at the full rate of the share or floor.
inline constexpr Duration BurstDuration = std::chrono::seconds(1);

/// Weight of the latest interval in the exponentially smoothed demand. With lower weights, shares
/// followed demand too slowly for the target of 2 s.
inline constexpr double DemandSmoothingFactor = 0.7;
/// The floor is split over the largest number of nodes that were live during this period. Nodes of
/// a partitioned region are declared dead but continue to use their floors, and partitions last up
/// to an hour.
inline constexpr Duration FloorNodesRetention = std::chrono::hours(2);
/// Upper bound of the retry-after time of a rejected request.
inline constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

} // namespace chervil::limits

#endif
