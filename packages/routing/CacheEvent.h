// Change of an engine's prefix cache; arrives late and with gaps.
#ifndef CHERVIL_ROUTING_CACHEEVENT_H
#define CHERVIL_ROUTING_CACHEEVENT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::routing {

struct CacheEvent {
  std::string Backend;
  /// Consecutive per back end; a jump is a gap.
  std::uint64_t Seq = 0;
  /// True if Added is the whole content of the cache.
  bool Snapshot = false;
  std::vector<std::uint64_t> Added;
  std::vector<std::uint64_t> Removed;
};

} // namespace chervil::routing

#endif
