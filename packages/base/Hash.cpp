#include "base/Hash.h"

#include <xxhash.h>

namespace chervil {

std::uint64_t hashBytes(std::string_view bytes, std::uint64_t seed) {
  return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashPair(std::string_view first, std::string_view second) {
  return hashBytes(second, hashBytes(first));
}

} // namespace chervil
