// The document shards/map. Use:
//   Result<ShardMap> map = parseShardMap(text);
//   const Placement &p = map->Shards[shardOf(key, map->Shards.size())];
#ifndef CHERVIL_SHARD_SHARDMAP_H
#define CHERVIL_SHARD_SHARDMAP_H

#include "base/Error.h"
#include "base/RequestKey.h"
#include "shard/Placement.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::shard {

struct ShardMap {
  /// Raised by 1 with each change; 0 for a map that was never written.
  std::uint64_t Version = 0;
  std::vector<Placement> Shards;

  bool operator==(const ShardMap &) const = default;
};

/// Upper bound on the number of shards in a document.
constexpr std::size_t MaxShards = 65536;

/// Number of the shard of a key. `count` must not be 0.
std::uint32_t shardOf(const RequestKey &key, std::size_t count);

/// Compact JSON: {"version":N,"nodes":[["name",incarnation],...],
/// "shards":[[owner,standby,epoch,ready,lost],...]}, where owner and standby are indices into
/// `nodes`, standby is -1 when not set, and lost is in wall-clock ms, 0 when not lost.
std::string serialise(const ShardMap &map);

/// Errors: BadJson for text that is not JSON, BadRequest with the first fault for any other.
Result<ShardMap> parseShardMap(std::string_view text);

} // namespace chervil::shard

#endif
