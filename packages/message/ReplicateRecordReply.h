// From the standby to the owner: states whether the record is stored.
#ifndef CHERVIL_MESSAGE_REPLICATERECORDREPLY_H
#define CHERVIL_MESSAGE_REPLICATERECORDREPLY_H

#include "base/ResultCode.h"

#include <cstdint>

namespace chervil::message {

struct ReplicateRecordReply {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  /// Seq of the ReplicateRecord.
  std::uint64_t Seq = 0;
  /// Ok, StaleEpoch, or AttemptClosed if a gateway has closed the attempt at the standby.
  ResultCode Code = ResultCode::Ok;
};

} // namespace chervil::message

#endif
