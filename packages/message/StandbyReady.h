// Owner to the holder of duty/shards: these standbys hold the whole table.
#ifndef CHERVIL_MESSAGE_STANDBYREADY_H
#define CHERVIL_MESSAGE_STANDBYREADY_H

#include <cstdint>
#include <vector>

namespace chervil::message {

struct ShardEpoch {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
};

struct StandbyReady {
  std::vector<ShardEpoch> Shards;
};

} // namespace chervil::message

#endif
