// The record table's view of one shard of the shard map.
#ifndef CHERVIL_RECORD_SHARDVIEW_H
#define CHERVIL_RECORD_SHARDVIEW_H

#include "base/NodeId.h"
#include "base/Time.h"

#include <cstdint>

namespace chervil::record {

/// Role of this node in a shard.
enum class Role : std::uint8_t { None, Owner, Standby };

struct ShardView {
  Role LocalRole = Role::None;
  NodeId Owner;
  /// Not set if the shard has no standby.
  NodeId Standby;
  /// Version of the placement of the shard; it never decreases.
  std::uint64_t Epoch = 0;
  /// The shard map states that the standby holds the complete table.
  bool Ready = false;
  /// True while marks made before LostSince may be missing.
  bool Lost = false;
  WallTime LostSince{};
};

} // namespace chervil::record

#endif
