// What the record table needs to know about one shard.
#ifndef CHERVIL_RECORD_SHARDVIEW_H
#define CHERVIL_RECORD_SHARDVIEW_H

#include "base/NodeId.h"
#include "base/Time.h"

#include <cstdint>

namespace chervil::record {

enum class Role : std::uint8_t { None, Owner, Standby };

struct ShardView {
  Role LocalRole = Role::None;
  NodeId Owner;
  NodeId Standby;
  std::uint64_t Epoch = 0;
  /// The standby holds the whole table, and the shard map says so.
  bool Ready = false;
  /// True while marks older than LostSince may be missing.
  bool Lost = false;
  WallTime LostSince{};
};

} // namespace chervil::record

#endif
