// Owner to new standby: part of the shard's record table, sent in order.
#ifndef CHERVIL_MESSAGE_TABLECHUNK_H
#define CHERVIL_MESSAGE_TABLECHUNK_H

#include "message/MarkCopy.h"
#include "message/RecordCopy.h"

#include <vector>

namespace chervil::message {

struct TableChunk {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Chunk 0 makes the receiver forget what it holds of the shard.
  std::uint32_t Index = 0;
  bool Last = false;
  std::vector<RecordCopy> Records;
  std::vector<MarkCopy> Marks;
};

} // namespace chervil::message

#endif
