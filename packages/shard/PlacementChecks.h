// Checks of a placement that protect the at-most-once rule (docs/design.md, 4.4 and 7). Use:
//   if (!acceptsMark(p, self, sender, mark.Epoch, highestSeen)) reply(ResultCode::StaleEpoch);
#ifndef CHERVIL_SHARD_PLACEMENTCHECKS_H
#define CHERVIL_SHARD_PLACEMENTCHECKS_H

#include "base/RequestKey.h"
#include "shard/Placement.h"

#include <chrono>

namespace chervil::shard {

/// True if `self` may ack a Mark from `sender` under `epoch`: the placement names both in their
/// roles under exactly this epoch, and no higher epoch of the shard was seen (`highestSeen`).
bool acceptsMark(const Placement &placement, const NodeId &self, const NodeId &sender,
                 std::uint64_t epoch, std::uint64_t highestSeen);

/// True if `self` may issue grants for non-repeatable work: it is owner and the standby is ready.
bool mayGrantNonRepeatable(const Placement &placement, const NodeId &self);

/// True if a non-repeatable key that has no record may run. After a loss of records this holds only
/// for a UUIDv7 younger than the epoch's start plus twice `margin` and not from the future, until
/// `horizon` plus twice `margin` has passed since the epoch's start. `margin` bounds the error of
/// any clock.
bool mayRunAfterLoss(const Placement &placement, const RequestKey &key, WallTime wallNow,
                     std::chrono::milliseconds margin, std::chrono::milliseconds horizon);

/// True for a UUIDv7 whose time lies more than `margin` after `wallNow`.
bool isFromFuture(const RequestKey &key, WallTime wallNow, std::chrono::milliseconds margin);

} // namespace chervil::shard

#endif
