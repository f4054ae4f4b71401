// Maps prompt blocks to the back ends that are believed to hold them in their prefix caches. Use:
//   addBlock(map, hash, backend);
//   depth = cachedDepth(map, hashes, backend);
#ifndef CHERVIL_ROUTING_PREFIXMAP_H
#define CHERVIL_ROUTING_PREFIXMAP_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervil::routing {

/// A back end that holds a block. Valid only while Generation is current for the back end.
struct PrefixHolder {
  std::uint32_t Backend = 0;
  std::uint32_t Generation = 0;

  bool operator==(const PrefixHolder &) const = default;
};

struct PrefixMap {
  /// By the prefix hash of the block.
  std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> Holders;
  /// Insertions in order; the oldest are evicted when the map is full.
  std::deque<std::pair<std::uint64_t, PrefixHolder>> Order;
  /// By back end; incremented to invalidate all its blocks without iterating over the map.
  std::vector<std::uint32_t> Generations;
  /// Maximum number of entries (block, back end).
  std::size_t Capacity = 400000;
};

/// Adds a back end to the holders of a block; evicts the oldest entries of a full map.
void addBlock(PrefixMap &map, std::uint64_t hash, std::uint32_t backend);
void removeBlock(PrefixMap &map, std::uint64_t hash, std::uint32_t backend);
/// Removes all blocks of a back end, in constant time.
void removeBackend(PrefixMap &map, std::uint32_t backend);

/// Returns the number of leading blocks of the chain that the back end is believed to hold. Uses
/// binary search, since an engine that holds a block of a chain also holds the blocks before it.
std::size_t cachedDepth(const PrefixMap &map, std::span<const std::uint64_t> chain,
                        std::uint32_t backend);

/// Returns the back ends that hold the longest cached prefix of the chain; empty if there is none.
std::vector<std::uint32_t> deepestHolders(const PrefixMap &map,
                                          std::span<const std::uint64_t> chain);

} // namespace chervil::routing

#endif
