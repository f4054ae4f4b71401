// Which back ends hold which cached prompt blocks. Use:
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

/// Valid while Generation is the current one of the back end.
struct PrefixHolder {
  std::uint32_t Backend = 0;
  std::uint32_t Generation = 0;

  bool operator==(const PrefixHolder &) const = default;
};

struct PrefixMap {
  std::unordered_map<std::uint64_t, std::vector<PrefixHolder>> Holders;
  /// Insertions in order; the oldest go when the map is full.
  std::deque<std::pair<std::uint64_t, PrefixHolder>> Order;
  /// By back end; raised to forget its blocks without a walk over the map.
  std::vector<std::uint32_t> Generations;
  std::size_t Capacity = 400000;
};

void addBlock(PrefixMap &map, std::uint64_t hash, std::uint32_t backend);
void removeBlock(PrefixMap &map, std::uint64_t hash, std::uint32_t backend);
/// Forgets all blocks of a back end.
void removeBackend(PrefixMap &map, std::uint32_t backend);

/// Number of leading blocks of the chain that the back end is believed to hold. Uses binary
/// search: an engine that holds a block of a chain holds the blocks before it.
std::size_t cachedDepth(const PrefixMap &map, std::span<const std::uint64_t> chain,
                        std::uint32_t backend);

/// The back ends that hold the longest cached part of the chain; empty if none does.
std::vector<std::uint32_t> deepestHolders(const PrefixMap &map,
                                          std::span<const std::uint64_t> chain);

} // namespace chervil::routing

#endif
