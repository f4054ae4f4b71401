// The shard map: the placement of each shard, stored as the document shards/map. Use:
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
  /// Raised by 1 with each change; 0 for a new map that has not been stored.
  std::uint64_t Version = 0;
  /// Indexed by shard number.
  std::vector<Placement> Shards;

  bool operator==(const ShardMap &) const = default;
};

/// Upper bound on the number of shards in a document.
constexpr std::size_t MaxShards = 65536;

/// Returns the number of the shard that a key belongs to. `count` is the number of shards and must
/// not be 0.
std::uint32_t shardOf(const RequestKey &key, std::size_t count);

/// Returns compact JSON: {"version":N,"nodes":[["name",incarnation],...],
/// "shards":[[owner,standby,epoch,ready,lost],...]}, where owner and standby are indices into
/// `nodes`, standby is -1 if unset, and lost is LostSince in ms since the Unix epoch, 0 if unset.
std::string serialise(const ShardMap &map);

/// Parses the output of serialise(). Errors: BadJson for text that is not JSON, BadRequest with the
/// first fault for a document that is not a valid shard map.
Result<ShardMap> parseShardMap(std::string_view text);

} // namespace chervil::shard

#endif
