// A change of the content of an engine's prefix cache. Events arrive late, and some are lost.
#ifndef CHERVIL_ROUTING_CACHEEVENT_H
#define CHERVIL_ROUTING_CACHEEVENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::routing {

struct CacheEvent {
  /// Name of the back end.
  std::string Backend;
  /// Consecutive per back end; a skipped number means that an event was lost.
  std::uint64_t Seq = 0;
  /// True if Added is the complete content of the cache.
  bool Snapshot = false;
  /// Prefix hashes of blocks.
  std::vector<std::uint64_t> Added;
  std::vector<std::uint64_t> Removed;
};

} // namespace chervil::routing

#endif
