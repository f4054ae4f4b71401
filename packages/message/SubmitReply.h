// Answer to Submit, from the owner to the gateway.
#ifndef CHERVIL_MESSAGE_SUBMITREPLY_H
#define CHERVIL_MESSAGE_SUBMITREPLY_H

#include "base/RequestKey.h"
#include "base/ResultCode.h"
#include "message/CopyPlacement.h"

#include <cstdint>

namespace chervil::message {

/// Decision of the owner on a submitted request.
enum class SubmitDecision : std::uint8_t {
  /// The gateway becomes the executor, with the run number of the reply.
  Granted,
  /// The request is running or finished; its answer is read with Fetch.
  Attached,
  /// The request is not accepted, for the reason in Code.
  Refused,
};

struct SubmitReply {
  RequestKey Key;
  std::uint32_t Attempt = 1;
  SubmitDecision Decision = SubmitDecision::Refused;
  ResultCode Code = ResultCode::Ok;
  std::uint32_t Run = 0;
  /// With ResultCode::AttemptClosed: the smallest attempt number that may still run.
  std::uint32_t NextAttempt = 0;
  CopyPlacement Placement = CopyPlacement::Owner;
};

} // namespace chervil::message

#endif
