// Answer to EpochProbe, from the standby to the limit home: the standby knows no later epoch of the
// shard. If it knows one, it does not answer.
#ifndef CHERVIL_MESSAGE_EPOCHCONFIRM_H
#define CHERVIL_MESSAGE_EPOCHCONFIRM_H

#include <cstdint>

namespace chervil::message {

struct EpochConfirm {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Seq of the EpochProbe.
  std::uint64_t Seq = 0;
};

} // namespace chervil::message

#endif
