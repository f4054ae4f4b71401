#include "record/State.h"

#include "shard/PlacementChecks.h"

namespace chervil::record {

std::uint32_t shardOf(const State &state, const RequestKey &key) {
  if (state.Shards.empty())
    return 0;
  return static_cast<std::uint32_t>(hashOf(key) % state.Shards.size());
}

bool mayRunAfterLoss(const ShardView &shard, const Options &options, const RequestKey &key,
                     WallTime now) {
  shard::Placement placement;
  if (shard.Lost)
    placement.LostSince = shard.LostSince;
  return shard::mayRunAfterLoss(placement, key, now, options.ClockMargin, options.RetryHorizon);
}

} // namespace chervil::record
