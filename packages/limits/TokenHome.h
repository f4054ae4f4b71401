// The limit home of workspaces whose limit is claimed by amount: one bucket for all nodes. Use:
//   TokenGrant g = grant(home, claim, {.Rate = 1000, .Burst = 1000}, now);
// Differs from Home.h in that nodes claim what they need when they need it, so that a few large
// requests do not have to fit into a node's share. Not thread-safe.
#ifndef CHERVIL_LIMITS_TOKENHOME_H
#define CHERVIL_LIMITS_TOKENHOME_H

#include "base/Time.h"
#include "message/TokenClaim.h"
#include "message/TokenGrant.h"

#include <map>
#include <string>
#include <utility>

namespace chervil::limits {

/// Tokens per second and the depth of the bucket.
struct TokenLimit {
  double Rate = 0;
  double Burst = 0;
};

struct TokenBucket {
  double Level = 0;
  TimePoint Updated{};
};

/// In which capacity a node grants.
enum class GrantRole : std::uint8_t {
  /// It is the home of the workspace.
  Home,
  /// It is next in rank, for nodes that cannot reach the home.
  Fallback,
  /// It grants to itself because it reaches neither.
  Isolated,
};

/// What a node sees of the fleet.
struct FleetView {
  /// Nodes in touch, this one included.
  std::size_t Healthy = 1;
  /// Nodes that have been seen lately or are named in the settings.
  std::size_t Known = 1;
};

struct TokenHome {
  /// Since when the nodes, and so the homes, have been the same.
  TimePoint Since{};
  /// By role and workspace.
  std::map<std::pair<GrantRole, std::string>, TokenBucket> Buckets;
};

/// Part of a limit that is granted beside the home, which may grant the whole limit at the same
/// time, and for as long as a link is cut. Operators tolerate a tenth of the limit and 0.8 s of its
/// rate in 8 s, a fifth in all. With 0.4, cuts of 4 s exceeded it.
inline constexpr double FallbackFraction = 0.2;
/// Depth of a bucket in time of its rate, for limits with a smaller burst or none: claims come up
/// to some tenths of a second apart, and what was not granted between them must not be lost.
inline constexpr Duration MinBucketDepth = std::chrono::milliseconds(250);
/// Level of a new bucket as a part of the burst when the homes have just changed: an earlier home
/// may have granted a burst. It fills from then on, whether or not there are claims.
inline constexpr double InitialLevelFraction = 0.2;

/// Part of a limit that a node may grant. Only a home that sees most of the fleet grants all of it:
/// nodes that are cut off each take themselves for the home of everything.
double grantedFraction(GrantRole role, const FleetView &view);

message::TokenGrant grantClaim(TokenHome &home, const message::TokenClaim &claim, GrantRole role,
                               const TokenLimit &limit, const FleetView &view, const Now &now);

} // namespace chervil::limits

#endif
