// Digest of a member list, with which two nodes detect whether and where their lists differ. Use:
//   if (makeDigest(a).Hash != makeDigest(b).Hash) ...
#ifndef CHERVIL_MEMBERSHIP_DIGEST_H
#define CHERVIL_MEMBERSHIP_DIGEST_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervil::membership {

struct State;

/// Covers the name, incarnation and leaving deadline of each member that is not dead and has an
/// address. Suspicions are left out, because they end within seconds and would make lists differ
/// constantly. Dead members are left out, because joining nodes are not told about them.
struct Digest {
  /// Number of members covered.
  std::uint32_t Count = 0;
  /// XOR of the hashes of the members.
  std::uint64_t Hash = 0;
  /// XOR of the upper halves of the hashes of the members in each bucket; DigestBuckets entries.
  std::vector<std::uint32_t> Buckets;
};

/// Number of buckets that names are hashed into. With 64 buckets and 320 members, an exchange sends
/// about 5 entries for one differing member, and the buckets take 320 B.
constexpr std::size_t DigestBuckets = 64;

/// Returns the bucket of a member, below DigestBuckets.
std::size_t digestBucket(std::string_view name);

Digest makeDigest(const State &state);

} // namespace chervil::membership

#endif
