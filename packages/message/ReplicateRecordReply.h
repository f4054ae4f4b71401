// Standby to owner: the record is stored, or why not.
#ifndef CHERVIL_MESSAGE_REPLICATERECORDREPLY_H
#define CHERVIL_MESSAGE_REPLICATERECORDREPLY_H

#include "base/ResultCode.h"

#include <cstdint>

namespace chervil::message {

struct ReplicateRecordReply {
  std::uint32_t Shard = 0;
  std::uint64_t Epoch = 0;
  std::uint64_t Seq = 0;
  /// Ok, StaleEpoch, or AttemptClosed when a gateway closed the attempt at the standby.
  ResultCode Code = ResultCode::Ok;
};

} // namespace chervil::message

#endif
