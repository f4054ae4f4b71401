// Identity of a request: the customer and its idempotency key.
#ifndef CHERVIL_BASE_REQUESTKEY_H
#define CHERVIL_BASE_REQUESTKEY_H

#include "base/Hash.h"

#include <compare>
#include <cstddef>
#include <string>

namespace chervil {

struct RequestKey {
  std::string Customer;
  std::string Key;

  auto
  operator<=>(const RequestKey &) const = default; // NOLINT(modernize-use-nullptr): false positive
};

/// Stable on all nodes; decides the shard.
inline std::uint64_t hashOf(const RequestKey &key) { return hashPair(key.Customer, key.Key); }

struct RequestKeyHash {
  std::size_t operator()(const RequestKey &key) const { return hashOf(key); }
};

} // namespace chervil

#endif
