// Summary of a member list, by which two nodes find out whether and where their lists differ. Use:
//   if (makeDigest(a).Hash != makeDigest(b).Hash) ...
#ifndef CHERVIL_MEMBERSHIP_DIGEST_H
#define CHERVIL_MEMBERSHIP_DIGEST_H

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace chervil::membership {

struct State;

/// Covers name, incarnation and leaving deadline of the members that are not dead and have an
/// address. Suspicions are left out, because they end within seconds and would make lists differ
/// all the time; so are dead members, because joining nodes do not learn them.
struct Digest {
  std::uint32_t Count = 0;
  std::uint64_t Hash = 0;
  std::vector<std::uint32_t> Buckets;
};

/// With 64 buckets one differing member of 320 costs about 5 entries, and the buckets 320 B.
constexpr std::size_t DigestBuckets = 64;

std::size_t digestBucket(std::string_view name);

Digest makeDigest(const State &state);

} // namespace chervil::membership

#endif
