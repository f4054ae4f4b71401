// From the owner to the standby: store this record under the given epoch. Answered by
// ReplicateRecordReply.
#ifndef CHERVIL_MESSAGE_REPLICATERECORD_H
#define CHERVIL_MESSAGE_REPLICATERECORD_H

#include "message/RecordCopy.h"

namespace chervil::message {

struct ReplicateRecord {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Sequence number, repeated in the reply.
  std::uint64_t Seq = 0;
  RecordCopy Record;
};

} // namespace chervil::message

#endif
