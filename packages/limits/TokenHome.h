// The limit home of workspaces: one token bucket for all nodes, from which nodes claim amounts.
// Usage:
//   TokenLimit limit{.Rate = 1000, .Burst = 1000};
//   TokenGrant g = grantClaim(home, claim, GrantRole::Home, limit, view, now);
// Unlike with LimitHome.h, nodes claim the tokens they need when they need them, so that a few
// large requests do not have to fit into the share of one node. Not thread-safe.
#ifndef CHERVIL_LIMITS_TOKENHOME_H
#define CHERVIL_LIMITS_TOKENHOME_H

#include "base/Time.h"
#include "message/TokenClaim.h"
#include "message/TokenGrant.h"

#include <map>
#include <string>
#include <utility>

namespace chervil::limits {

/// Rate in tokens per second and capacity of the bucket in tokens.
struct TokenLimit {
  double Rate = 0;
  double Burst = 0;
};

/// A bucket of tokens; Level is as of Updated.
struct TokenBucket {
  double Level = 0;
  TimePoint Updated{};
};

/// The role in which a node answers a claim.
enum class GrantRole : std::uint8_t {
  /// The node is the home of the workspace.
  Home,
  /// The node ranks next after the home and serves nodes that cannot reach the home.
  Fallback,
  /// The node grants to itself because it can reach neither of the two.
  Isolated,
};

/// Number of nodes from the point of view of one node.
struct FleetView {
  /// Reachable nodes, including this one.
  std::size_t Healthy = 1;
  /// Nodes that were seen recently or are listed in the settings.
  std::size_t Known = 1;
};

/// Buckets of all workspaces that claimed tokens from this node.
struct TokenHome {
  /// Time of the last change of the set of nodes, and so of the assignment of homes.
  TimePoint Since{};
  /// Keyed by role and workspace.
  std::map<std::pair<GrantRole, std::string>, TokenBucket> Buckets;
};

/// Fraction of a limit that may be granted by other nodes than the home. The home may grant the
/// whole limit at the same time, and this lasts as long as a network partition. Operators tolerate
/// an excess of a tenth of the limit plus 0.8 s of its rate in 8 s, a fifth in total. With 0.4,
/// partitions of 4 s exceeded that.
inline constexpr double FallbackFraction = 0.2;
/// Minimum bucket capacity, as time at the rate of the limit, for limits with a smaller burst or
/// none. Claims arrive up to a few tenths of a second apart, and the tokens that accrue between
/// them must not be lost.
inline constexpr Duration MinBucketDepth = std::chrono::milliseconds(250);
/// Level of a bucket at the last change of homes, as a fraction of its capacity, because the
/// previous home may have granted a burst. The bucket fills from that time on, with or without
/// claims.
inline constexpr double InitialLevelFraction = 0.2;

/// Returns the fraction of a limit that a node may grant. Only a home that reaches a majority of
/// the nodes grants the whole limit, because each partitioned node considers itself the home of all
/// workspaces.
double grantedFraction(GrantRole role, const FleetView &view);

/// Answers a claim with as many tokens as the bucket holds, and states when the rest will be
/// available.
message::TokenGrant grantClaim(TokenHome &home, const message::TokenClaim &claim, GrantRole role,
                               const TokenLimit &limit, const FleetView &view, const Now &now);

} // namespace chervil::limits

#endif
