// A request record as it travels between owner, standby and a node that takes a request over.
#ifndef CHERVIL_MESSAGE_RECORDCOPY_H
#define CHERVIL_MESSAGE_RECORDCOPY_H

#include "base/NodeId.h"
#include "base/RequestKey.h"
#include "base/ResultCode.h"
#include "message/RecordState.h"
#include "message/RequestSpec.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct RecordCopy {
  RequestKey Key;
  std::uint64_t BodyHash = 0;
  /// Number the caller gave to its attempt.
  std::uint32_t Attempt = 1;
  /// Number of the execution; raised whenever another node becomes executor.
  std::uint32_t Run = 0;
  RecordState State = RecordState::Running;
  NodeId Executor;
  /// Body left empty for work that may not be repeated: it is never run from the record.
  RequestSpec Spec;
  /// Result and answer; the answer is a prefix while the record is Running.
  ResultCode Code = ResultCode::Ok;
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Answer;
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
