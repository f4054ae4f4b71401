// A request record as it is sent between the owner, the standby and a node that takes over an
// execution.
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
  /// Hash of the request's content, which detects a key that is reused for another request.
  std::uint64_t BodyHash = 0;
  /// Attempt number given by the caller.
  std::uint32_t Attempt = 1;
  /// Number of the execution; incremented whenever another node becomes the executor.
  std::uint32_t Run = 0;
  RecordState State = RecordState::Running;
  NodeId Executor;
  /// Spec.Body is empty for non-repeatable requests, because they are never run from the record.
  RequestSpec Spec;
  /// Result code; Answer holds a prefix of the answer while the record is Running.
  ResultCode Code = ResultCode::Ok;
  /// HTTP status of the answer.
  std::uint16_t Status = 0;
  std::string ContentType;
  std::string Answer;
  /// Number of tokens generated so far.
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
