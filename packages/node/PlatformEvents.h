// What the platform and the operators tell a node.
#ifndef CHERVIL_NODE_PLATFORMEVENTS_H
#define CHERVIL_NODE_PLATFORMEVENTS_H

#include "base/Time.h"
#include "membership/Membership.h"
#include "routing/Backend.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::node {

/// The whole list of back ends after a change of the VM list.
struct BackendList {
  std::vector<routing::Backend> Backends;
};

/// Reclaim notice for a back end.
struct BackendNotice {
  std::string Backend;
  WallTime LeaveBy{};
};

/// A VM that no longer exists, by the platform's VM list.
struct DeletedVm {
  /// Name of the VM, which is the name of the node that ran on it.
  std::string Name;
  /// A time at which the VM did not exist. For a list that lags, the time of its contents and not
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

/// Whether this node holds the lease duty/shards.
struct ShardDuty {
  bool Held = false;
  /// Revision of shards/map in the key-value service as last read; 0 when it does not exist.
  std::uint64_t MapRevision = 0;
};

/// Result of the WriteShardMap effect.
struct ShardMapWritten {
  enum class Outcome : std::uint8_t { Done, Conflict, Unavailable };
  Outcome Result = Outcome::Unavailable;
  std::uint64_t Revision = 0;
};

/// The node is to stop at the given time.
struct Leave {
  WallTime By{};
};

/// Load of this node in percent of its capacity.
struct OwnLoad {
  std::uint8_t Percent = 0;
};

/// Drives everything that depends on time; about every 20 ms.
struct Tick {};

} // namespace chervil::node

#endif
