// Checks of a shard's placement that ensure that a non-repeatable request is executed at most once
// (docs/design.md, 4.4 and 7). Use:
//   if (!acceptsMark(p, self, sender, mark.Epoch, highestSeen)) reply(ResultCode::StaleEpoch);
#ifndef CHERVIL_SHARD_PLACEMENTCHECKS_H
#define CHERVIL_SHARD_PLACEMENTCHECKS_H

#include "base/RequestKey.h"
#include "shard/Placement.h"

#include <chrono>

namespace chervil::shard {

/// True if `self` may acknowledge a Mark that `sender` issued in `epoch`: in the placement, `self`
/// is the standby, `sender` is the owner and the epoch is `epoch`, and `epoch` is not below
/// `highestSeen`, the highest epoch of the shard that this node has seen.
bool acceptsMark(const Placement &placement, const NodeId &self, const NodeId &sender,
                 std::uint64_t epoch, std::uint64_t highestSeen);

/// True if `self` may issue grants for non-repeatable requests: it is the owner and the standby is
/// ready.
bool mayGrantNonRepeatable(const Placement &placement, const NodeId &self);

/// True if a non-repeatable request whose key has no record may be executed.
///
/// After a loss of records, a key without a record may have been executed before. Until `horizon`
/// plus twice `margin` after LostSince, this therefore holds only for a UUIDv7 key created more
/// than twice `margin` after LostSince and not in the future (isFromFuture). `horizon` is the time
/// within which callers retry, `margin` the upper bound of the error of any clock.
bool mayRunAfterLoss(const Placement &placement, const RequestKey &key, WallTime wallNow,
                     std::chrono::milliseconds margin, std::chrono::milliseconds horizon);

/// True for a UUIDv7 key whose creation time is more than `margin` after `wallNow`.
bool isFromFuture(const RequestKey &key, WallTime wallNow, std::chrono::milliseconds margin);

} // namespace chervil::shard

#endif
