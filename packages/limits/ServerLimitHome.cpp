#include "limits/ServerLimitHome.h"

#include <algorithm>
#include <cmath>

namespace chervil::limits {
namespace {

using Seconds = std::chrono::duration<double>;

/// Time after which a denied claim may be repeated: when the next request has accrued, and then
/// spread over a time that grows with the square of the denials per accrued request. With n nodes
/// that all want to send, the denials grow with the cube root of n.
std::chrono::milliseconds scheduleReturn(SendBucket &bucket, double rate) {
  constexpr double spreadDivisor = 4;
  // Multiples of the golden ratio are spread evenly, however many there are.
  constexpr double goldenRatio = 0.6180339887;
  double whole = 0;
  const double place = std::modf(goldenRatio * double(++bucket.DenialCount), &whole);
  const double spread = place * bucket.Denials * bucket.Denials / spreadDivisor;
  const Seconds wait((1 - bucket.Level + spread) / rate);
  return std::min(MaxSendRetryAfter, std::chrono::ceil<std::chrono::milliseconds>(wait));
}

} // namespace

message::SendGrant grantSend(ServerLimitHome &home, const message::SendClaim &claim, GrantRole role,
                             double perSecond, const FleetView &view, const Now &now) {
  const double rate = std::max(MinSendRate, perSecond) * grantedFraction(role, view);
  const double depth = std::max(MinSendBucketDepth, rate * Seconds(SendBucketDepth).count());
  const auto [it, isNew] = home.Buckets.try_emplace({role, {claim.Backend, claim.Born}},
                                                    SendBucket{.Updated = now.Steady});
  SendBucket &bucket = it->second;
  const double accrued = rate * Seconds(now.Steady - bucket.Updated).count();
  bucket.Level = std::min(depth, bucket.Level + accrued);
  bucket.Denials *= std::exp(-accrued);
  bucket.Updated = now.Steady;
  if (bucket.Level < 1) {
    bucket.Denials += 1;
    return {claim.Seq, false, scheduleReturn(bucket, rate)};
  }
  bucket.Level -= 1;
  return {claim.Seq, true, {}};
}

void prune(ServerLimitHome &home, const Now &now) {
  std::erase_if(home.Buckets, [&](const auto &it) {
    return now.Steady - it.second.Updated > SendBucketLifetime;
  });
}

} // namespace chervil::limits
