#include "limits/TokenHome.h"

#include <algorithm>
#include <cmath>

namespace chervil::limits {
namespace {

// Maximum time for which a new bucket is filled retroactively; longer than any burst takes to fill.
constexpr Duration MaxInitialFillTime = std::chrono::minutes(1);

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

} // namespace

double grantedFraction(GrantRole role, const FleetView &view) {
  const double known = static_cast<double>(std::max<std::size_t>(1, view.Known));
  if (role == GrantRole::Isolated)
    return view.Known <= 1 ? 1 : FallbackFraction / known;
  if (2 * view.Healthy <= view.Known)
    return FallbackFraction * static_cast<double>(view.Healthy) / known;
  return role == GrantRole::Home ? 1 : FallbackFraction;
}

message::TokenGrant grantClaim(TokenHome &home, const message::TokenClaim &claim, GrantRole role,
                               const TokenLimit &limit, const FleetView &view, const Now &now) {
  const double part = grantedFraction(role, view);
  const double rate = limit.Rate * part;
  const double burst = std::max(limit.Burst, limit.Rate * secondsOf(MinBucketDepth)) * part;
  const auto [it, fresh] = home.Buckets.try_emplace(
      {role, claim.Workspace}, TokenBucket{burst * InitialLevelFraction,
                                           std::max(home.Since, now.Steady - MaxInitialFillTime)});
  TokenBucket &bucket = it->second;
  bucket.Level = std::min(burst, bucket.Level + rate * secondsOf(now.Steady - bucket.Updated));
  bucket.Updated = now.Steady;
  message::TokenGrant out;
  out.Workspace = claim.Workspace;
  out.Seq = claim.Seq;
  out.Granted = std::clamp(claim.Amount, 0.0, std::max(0.0, bucket.Level));
  bucket.Level -= out.Granted;
  const double rest = claim.Amount - out.Granted;
  if (rest > 0 && rate > 0)
    out.RemainderAfter =
        std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(1000 * rest / rate)));
  return out;
}

} // namespace chervil::limits
