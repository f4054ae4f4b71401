#include "membership/Digest.h"

#include "base/Hash.h"
#include "membership/Queries.h"

namespace chervil::membership {

namespace {

/// The increment of splitmix64, an odd number. Multiplication by it distributes the deadline over
/// all bits of the seed.
constexpr std::uint64_t SplitMixIncrement = 0x9e3779b97f4a7c15ULL;

std::uint64_t hashOf(const message::MemberUpdate &info) {
  const auto leaveBy = static_cast<std::uint64_t>(info.LeaveBy.time_since_epoch().count());
  return hashBytes(info.Id.Name, info.Id.Incarnation ^ (leaveBy * SplitMixIncrement));
}

} // namespace

std::size_t digestBucket(std::string_view name) { return hashBytes(name) % DigestBuckets; }

Digest makeDigest(const State &state) {
  Digest digest;
  digest.Buckets.resize(DigestBuckets);
  for (const auto &[name, it] : state.Members) {
    if (!isLive(it))
      continue;
    const std::uint64_t hash = hashOf(it.Info);
    ++digest.Count;
    digest.Hash ^= hash;
    digest.Buckets[digestBucket(name)] ^= static_cast<std::uint32_t>(hash >> 32);
  }
  return digest;
}

} // namespace chervil::membership
