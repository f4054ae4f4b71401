// Answer to TableChunk, from a new standby to the owner.
#ifndef CHERVIL_MESSAGE_TABLEACK_H
#define CHERVIL_MESSAGE_TABLEACK_H

#include <cstdint>

namespace chervil::message {

struct TableAck {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  std::uint32_t Index = 0;
  /// False if the chunk could not be stored; the owner then restarts the transfer later.
  bool Stored = false;
};

} // namespace chervil::message

#endif
