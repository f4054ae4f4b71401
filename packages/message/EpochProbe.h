// From a limit home to the standby of its shard: asks whether the sender is still the owner under
// this epoch. Answered by EpochConfirm.
#ifndef CHERVIL_MESSAGE_EPOCHPROBE_H
#define CHERVIL_MESSAGE_EPOCHPROBE_H

#include <cstdint>

namespace chervil::message {

struct EpochProbe {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Sequence number, repeated in the answer.
  std::uint64_t Seq = 0;
};

} // namespace chervil::message

#endif
