#include "record/State.h"

#include "base/Uuid.h"

namespace chervil::record {

std::uint32_t shardOf(const State &state, const RequestKey &key) {
  if (state.Shards.empty())
    return 0;
  return static_cast<std::uint32_t>(hashOf(key) % state.Shards.size());
}

bool mayRunAfterLoss(const ShardView &shard, const Options &options, const std::string &key,
                     WallTime now) {
  if (!shard.Lost || now > shard.LostSince + options.RetryHorizon)
    return true;
  const auto created = uuid7Time(key);
  return created.has_value() && *created > shard.LostSince + 2 * options.ClockMargin;
}

} // namespace chervil::record
