#include "limits/TokenHome.h"

#include <algorithm>
#include <cmath>

namespace chervil::limits {
namespace {

// Maximum time for which a new bucket is filled retroactively; longer than any burst takes to fill.
constexpr Duration MaxInitialFillTime = std::chrono::minutes(1);
// A limit counts as exhausted while its bucket is emptier than this fraction of its capacity.
constexpr double RecoveredFraction = 0.25;

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

/// Adds the tokens that accrued since the last update.
void refill(TokenBucket &bucket, double rate, double burst, const Now &now) {
  const double accrued = rate * secondsOf(now.Steady - bucket.Updated);
  bucket.Level = std::min(burst, bucket.Level + accrued);
  // While the limit is exhausted, new requests use all of it.
  if (bucket.Level >= RecoveredFraction * burst) {
    bucket.Deferred = std::max(0.0, bucket.Deferred - ReturnFraction * accrued);
    bucket.ExhaustedSince.reset();
  }
  bucket.Updated = now.Steady;
}

/// Largest amount that may be granted to a claim now. If the tokens do not suffice for the waiting
/// requests, only the first gets its tokens: a node would spend a part of the cost of a large
/// request on the next small ones.
double grantableTokens(const TokenBucket &bucket, const message::TokenClaim &claim, GrantRole role,
                       double burst) {
  if (bucket.Level >= claim.Amount || claim.WaitingCost <= 0)
    return bucket.Level;
  if (bucket.Level >= claim.WaitingCost)
    return claim.WaitingCost;
  const double head = std::min(claim.HeadShortfall, burst);
  return role == GrantRole::Home || bucket.Level >= head ? head : 0;
}

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
      {role, claim.Workspace}, TokenBucket{burst * InitialLevelFraction, 0,
                                           std::max(home.Since, now.Steady - MaxInitialFillTime)});
  TokenBucket &bucket = it->second;
  refill(bucket, rate, burst, now);
  message::TokenGrant out;
  out.Workspace = claim.Workspace;
  out.Seq = claim.Seq;
  if (bucket.Level > 0)
    out.Granted = std::clamp(claim.Amount, 0.0, grantableTokens(bucket, claim, role, burst));
  bucket.Level -= out.Granted;
  const double rest = claim.Amount - out.Granted;
  if (rest > 0 && rate > 0) {
    const double due = rest + bucket.Deferred + std::max(0.0, -bucket.Level);
    const TimePoint since = bucket.ExhaustedSince.value_or(now.Steady);
    bucket.ExhaustedSince = since;
    out.RemainderAfter =
        std::max(std::chrono::milliseconds(
                     static_cast<std::int64_t>(std::ceil(1000 * due / (ReturnFraction * rate)))),
                 std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady - since));
    bucket.Deferred += std::min(rest, claim.WaitingCost);
  }
  return out;
}

} // namespace chervil::limits
