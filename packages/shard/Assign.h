// Assigns an owner and a standby to each shard (docs/design.md, section 7). Run by the node that
// holds the lease duty/shards. Use:
//   if (auto next = assign(map, members, now, options)) compareAndSwap("shards/map", *next);
#ifndef CHERVIL_SHARD_ASSIGN_H
#define CHERVIL_SHARD_ASSIGN_H

#include "message/MemberUpdate.h"
#include "message/StandbyReady.h"
#include "shard/ShardMap.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace chervil::shard {

/// Parameters of assign().
struct AssignOptions {
  /// Number of shards of a new map. An existing map keeps its number of shards.
  std::size_t ShardCount = 1024;
  /// A leaving owner that stops within this time is replaced even if no standby is ready.
  std::chrono::milliseconds LeaveMargin = std::chrono::seconds(1);
  /// Time within which callers retry a request. Placement::LostSince is cleared by the first change
  /// of the placement after RetryHorizon plus twice ClockMargin.
  std::chrono::milliseconds RetryHorizon = std::chrono::minutes(15);
  /// Upper bound of the error of any clock.
  std::chrono::milliseconds ClockMargin = std::chrono::seconds(2);
  /// Upper bound on the number of shards moved in one change to balance the load.
  std::size_t MaxBalanceMoves = 8;
  /// Regions that cannot be reached but may still be running. A shard whose owner and standby are
  /// both in such regions keeps its placement.
  std::set<std::string> PartitionedRegions;
  /// Owners and standbys in such regions that failed to answer. They may still be running, so they
  /// are neither listed as Dead nor among `members`.
  std::set<NodeId> PartitionedHolders;
};

/// Returns the changed map with Version raised by 1, or nullopt if no change is needed or no member
/// is live. `members` holds the newest known incarnations in any order. Call this only when the
/// member list is complete (membership::isSettled).
///
/// An incarnation that is not among `members` counts as unreachable: its roles are given to other
/// members unless a request could then be executed twice. List a member as Dead only if its process
/// is known to have stopped, from the VM list or because a newer incarnation exists. Leave out a
/// member that merely failed to answer.
///
/// An epoch that starts without the records of the epoch before (LostSince) begins only when the
/// former owner or the former ready standby is known to have stopped. A grant needs both of them,
/// so an unreachable pair that is still running would continue to grant beside the new owner.
std::optional<ShardMap> assign(const ShardMap &map, std::span<const message::MemberUpdate> members,
                               const Now &now, const AssignOptions &options);

/// Returns the map with Ready set for each reported shard whose owner is `sender` in the reported
/// epoch, and with Version raised by 1. Returns nullopt if no flag changes.
std::optional<ShardMap> applyStandbyReady(const ShardMap &map, const NodeId &sender,
                                          const message::StandbyReady &report);

} // namespace chervil::shard

#endif
