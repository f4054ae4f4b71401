// Stable 64-bit hashes (xxh64). Equal on all nodes and versions.
#ifndef CHERVIL_BASE_HASH_H
#define CHERVIL_BASE_HASH_H

#include <cstdint>
#include <string_view>

namespace chervil {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed = 0);

/// Hash of `second`, seeded with the hash of `first`.
std::uint64_t hashPair(std::string_view first, std::string_view second);

} // namespace chervil

#endif
