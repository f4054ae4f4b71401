// Owner to gateway: the verdict on Submit.
#ifndef CHERVIL_MESSAGE_SUBMITREPLY_H
#define CHERVIL_MESSAGE_SUBMITREPLY_H

#include "base/RequestKey.h"
#include "base/ResultCode.h"
#include "message/CopyPlacement.h"

#include <cstdint>

namespace chervil::message {

enum class SubmitDecision : std::uint8_t {
  /// The gateway is executor with the given run number.
  Granted,
  /// The request is running or finished; read it with Fetch.
  Attached,
  Refused,
};

struct SubmitReply {
  RequestKey Key;
  std::uint32_t Attempt = 1;
  SubmitDecision Decision = SubmitDecision::Refused;
  ResultCode Code = ResultCode::Ok;
  std::uint32_t Run = 0;
  /// Smallest attempt number that may run, with ResultCode::AttemptClosed.
  std::uint32_t NextAttempt = 0;
  CopyPlacement Placement = CopyPlacement::Owner;
};

} // namespace chervil::message

#endif
