// Decides the shard map (docs/design.md, section 7). Run by the holder of duty/shards. Use:
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

struct AssignOptions {
  /// Number of shards of a map that is created; an existing map keeps its number.
  std::size_t ShardCount = 1024;
  /// A leaving owner whose deadline is nearer than this is replaced even without a ready standby.
  std::chrono::milliseconds LeaveMargin = std::chrono::seconds(1);
  /// After the horizon plus twice the clock margin a lost flag is removed with the next change.
  std::chrono::milliseconds RetryHorizon = std::chrono::minutes(15);
  std::chrono::milliseconds ClockMargin = std::chrono::seconds(2);
  /// Upper bound of shards that are moved for balance in one change.
  std::size_t MaxBalanceMoves = 8;
  /// Regions that are out of contact but not known to be gone: shards with owner and standby in
  /// them are left as they are.
  std::set<std::string> PartitionedRegions;
  /// Holders in such regions that are believed dead without proof and so are not among `members`.
  std::set<NodeId> PartitionedHolders;
};

/// The changed map, with Version raised by 1, or nothing if no change is needed or no member is
/// live. `members` are the newest incarnations known, in any order; call this only when the member
/// list is complete (membership::isSettled).
///
/// An incarnation that is not among the members is out of contact: its roles are given to others as
/// far as that cannot lead to a second execution. A member may be listed as Dead only if its
/// process is known to have stopped, by the VM list or by a newer incarnation; a member that merely
/// failed to answer must be left out. An epoch without the records of the one before (LostSince)
/// begins only when the former owner, or the former ready standby, is known to have stopped: both
/// are needed for a grant, and a pair that is out of contact would go on granting beside the new
/// owner.
std::optional<ShardMap> assign(const ShardMap &map, std::span<const message::MemberUpdate> members,
                               const Now &now, const AssignOptions &options);

/// The map with ready flags set for the reported shards whose owner is `sender` under the reported
/// epoch; nothing if no flag changes.
std::optional<ShardMap> applyStandbyReady(const ShardMap &map, const NodeId &sender,
                                          const message::StandbyReady &report);

} // namespace chervil::shard

#endif
