// New standby to owner: all chunks up to the last have been stored.
#ifndef CHERVIL_MESSAGE_TABLEACK_H
#define CHERVIL_MESSAGE_TABLEACK_H

#include <cstdint>

namespace chervil::message {

struct TableAck {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// False when a chunk was missing; the owner starts again.
  bool Complete = false;
};

} // namespace chervil::message

#endif
