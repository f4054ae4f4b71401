// From the owner to a new standby: part of the shard's record table. Chunks are sent in order;
// each is answered by TableAck.
#ifndef CHERVIL_MESSAGE_TABLECHUNK_H
#define CHERVIL_MESSAGE_TABLECHUNK_H

#include "message/MarkCopy.h"
#include "message/RecordCopy.h"

#include <vector>

namespace chervil::message {

struct TableChunk {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Number of the chunk. On chunk 0, the receiver discards its existing records of the shard.
  std::uint32_t Index = 0;
  bool Last = false;
  std::vector<RecordCopy> Records;
  std::vector<MarkCopy> Marks;
};

} // namespace chervil::message

#endif
