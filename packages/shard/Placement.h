// The nodes that hold the records of one shard. Use:
//   if (placement.Owner == self) ...
#ifndef CHERVIL_SHARD_PLACEMENT_H
#define CHERVIL_SHARD_PLACEMENT_H

#include "base/NodeId.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace chervil::shard {

struct Placement {
  /// Serves the shard and grants executions.
  NodeId Owner;
  /// Holds a copy of the records, in another data centre than the owner. Unset if no other data
  /// centre has a live node.
  NodeId Standby;
  /// Raised by 1 with each change of the owner or the standby.
  std::uint64_t Epoch = 0;
  /// True once the standby has acknowledged all records of the shard in this epoch.
  bool Ready = false;
  /// Start of the latest epoch that began without the records of the epoch before; unset if no
  /// records were lost, or once the loss can no longer cause a second execution.
  std::optional<WallTime> LostSince;

  bool operator==(const Placement &) const = default;
};

} // namespace chervil::shard

#endif
