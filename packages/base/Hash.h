// Stable 64-bit hashes (xxh64). Equal on all nodes and versions.
#ifndef CHERVIL_BASE_HASH_H
#define CHERVIL_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace chervil {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Hash of `second`, seeded with the hash of `first`.
std::uint64_t hashPair(std::string_view first, std::string_view second);

/// Combines two hashes, for rendezvous hashing; the order matters. Finaliser of splitmix64.
constexpr std::uint64_t mixHashes(std::uint64_t a, std::uint64_t b) {
  std::uint64_t x = a ^ (b * 0x9e3779b97f4a7c15ULL);
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

} // namespace chervil

#endif
