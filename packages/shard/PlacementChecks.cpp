#include "shard/PlacementChecks.h"

#include "base/Uuid.h"

namespace chervil::shard {

bool acceptsMark(const Placement &placement, const NodeId &self, const NodeId &sender,
                 std::uint64_t epoch, std::uint64_t highestSeen) {
  return isSet(self) && isSet(sender) && placement.Standby == self && placement.Owner == sender &&
         placement.Epoch == epoch && epoch >= highestSeen;
}

bool mayGrantNonRepeatable(const Placement &placement, const NodeId &self) {
  return isSet(self) && placement.Owner == self && isSet(placement.Standby) && placement.Ready;
}

bool mayRunAfterLoss(const Placement &placement, const RequestKey &key, WallTime wallNow,
                     std::chrono::milliseconds margin, std::chrono::milliseconds horizon) {
  if (!placement.LostSince)
    return true;
  if (wallNow > *placement.LostSince + horizon + 2 * margin)
    return true;
  const auto created = uuid7Time(key.Key);
  return created && *created > *placement.LostSince + 2 * margin && *created <= wallNow + margin;
}

bool isFromFuture(const RequestKey &key, WallTime wallNow, std::chrono::milliseconds margin) {
  const auto created = uuid7Time(key.Key);
  return created && *created > wallNow + margin;
}

} // namespace chervil::shard
