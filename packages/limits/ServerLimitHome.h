// The limit home of backend servers: one token bucket per server that limits the requests of all
// nodes together. Nodes claim each request that they want to send to such a server. Usage:
//   SendGrant g = grantSend(home, claim, GrantRole::Home, perSecond, view, now);
// A grant that is lost, or whose node dies, is not given again, so that the server gets fewer
// requests than it allows and never more. Not thread-safe.
#ifndef CHERVIL_LIMITS_SERVERLIMITHOME_H
#define CHERVIL_LIMITS_SERVERLIMITHOME_H

#include "base/Time.h"
#include "limits/TokenHome.h"
#include "message/SendClaim.h"
#include "message/SendGrant.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace chervil::limits {

/// Requests that may be sent to one server.
struct SendBucket {
  /// Whole requests that may be sent at Updated.
  double Level = 0;
  TimePoint Updated{};
  /// Claims denied, decayed over the time in which one request accrues.
  double Denials = 0;
  /// Denials in total; spreads the times at which they are repeated.
  std::uint64_t DenialCount = 0;
};

/// One start of a server.
using ServerStart = std::pair<std::string, std::uint64_t>;

/// Buckets of all servers for which this node answered claims lately.
struct ServerLimitHome {
  std::map<std::pair<GrantRole, ServerStart>, SendBucket> Buckets;
};

/// Smallest rate that is granted, in requests per second: only an answer shows that a limit of zero
/// has ended.
inline constexpr double MinSendRate = 0.1;
/// Requests that accrue without being claimed: time at the rate of the limit, or this number if it
/// is more. The claims of many nodes come irregularly, and what does not accrue is lost.
inline constexpr Duration SendBucketDepth = std::chrono::seconds(1);
inline constexpr double MinSendBucketDepth = 2;
/// Longest RetryAfter. A node that waits longer would not notice that a limit has been raised.
inline constexpr std::chrono::milliseconds MaxSendRetryAfter{10'000};
/// A bucket that is not used for this long is removed.
inline constexpr Duration SendBucketLifetime = std::chrono::seconds(30);

/// Answers a claim. A new bucket is empty, because an earlier home may just have granted what the
/// server allows. The more claims are denied, the longer is the time over which their repetitions
/// are spread, so that the home of a small limit in a large fleet gets few of them.
message::SendGrant grantSend(ServerLimitHome &home, const message::SendClaim &claim, GrantRole role,
                             double perSecond, const FleetView &view, const Now &now);

/// Removes buckets that are no longer used.
void prune(ServerLimitHome &home, const Now &now);

} // namespace chervil::limits

#endif
