// Limit home to the standby of its shard: is this node still owner under this epoch?
#ifndef CHERVIL_MESSAGE_EPOCHPROBE_H
#define CHERVIL_MESSAGE_EPOCHPROBE_H

#include <cstdint>

namespace chervil::message {

struct EpochProbe {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Repeated in the answer.
  std::uint64_t Seq = 0;
};

} // namespace chervil::message

#endif
