// Events caused by the platform, the operators and the process.
#ifndef CHERVIL_NODE_PLATFORMEVENTS_H
#define CHERVIL_NODE_PLATFORMEVENTS_H

#include "base/Time.h"
#include "membership/Membership.h"
#include "routing/Backend.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::node {

/// The complete list of back ends, after a change of the VM list.
struct BackendList {
  std::vector<routing::Backend> Backends;
};

/// Notice that a back end is reclaimed. A LeaveBy that is not in the future is unknown.
struct BackendNotice {
  std::string Backend;
  WallTime LeaveBy{};
};

/// A VM that no longer exists according to the platform's VM list.
struct DeletedVm {
  /// Name of the VM, which is the name of the node that ran on it.
  std::string Name;
  /// A time at which the VM did not exist. If the list lags, this is the time of its contents, not
  /// the time at which it was read.
  WallTime At{};
};

/// VM list entries and reclaim notices that concern nodes.
struct NodeNotices {
  std::vector<membership::VmNotice> Notices;
  std::vector<DeletedVm> DeletedVms;
};

/// A document read from the key-value service.
struct Document {
  std::string Name;
  std::uint64_t Version = 0;
  std::string Body;
};

/// States whether this node holds the lease duty/shards.
struct ShardDuty {
  bool Held = false;
  /// Last known revision of shards/map in the key-value service; 0 if it does not exist.
  std::uint64_t MapRevision = 0;
};

/// Result of the WriteShardMap effect.
struct ShardMapWritten {
  enum class Outcome : std::uint8_t { Done, Conflict, Unavailable };
  Outcome Result = Outcome::Unavailable;
  /// New revision of shards/map, if Result is Done.
  std::uint64_t Revision = 0;
};

/// The node must stop by the given time.
struct Leave {
  WallTime By{};
};

/// Load of this node in percent of its capacity.
struct OwnLoad {
  std::uint8_t Percent = 0;
};

/// Sent about every 20 ms; drives everything that depends on time.
struct Tick {};

} // namespace chervil::node

#endif
