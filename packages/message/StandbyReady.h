// From the owner to the holder of duty/shards: the standbys of these shards have a complete copy of
// the record table.
#ifndef CHERVIL_MESSAGE_STANDBYREADY_H
#define CHERVIL_MESSAGE_STANDBYREADY_H

#include <cstdint>
#include <vector>

namespace chervil::message {

/// A shard and its epoch.
struct ShardEpoch {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
};

struct StandbyReady {
  std::vector<ShardEpoch> Shards;
};

} // namespace chervil::message

#endif
