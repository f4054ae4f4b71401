// Where the records of one shard are held. Use:
//   if (placement.Owner == self) ...
#ifndef CHERVIL_SHARD_PLACEMENT_H
#define CHERVIL_SHARD_PLACEMENT_H

#include "base/NodeId.h"
#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace chervil::shard {

struct Placement {
  NodeId Owner;
  /// Not set when no node of a second data centre is live.
  NodeId Standby;
  /// Raised by 1 whenever owner or standby changes.
  std::uint64_t Epoch = 0;
  /// True once the standby has acked the whole table of this epoch.
  bool Ready = false;
  /// Start of the latest epoch that began without the records of the epoch before.
  std::optional<WallTime> LostSince;

  bool operator==(const Placement &) const = default;
};

} // namespace chervil::shard

#endif
