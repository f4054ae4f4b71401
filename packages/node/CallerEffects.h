// Effects on callers. For each handle the order is: at most one Begin, any number of Bytes, then
// exactly one of Finish, Refuse or Moved.
#ifndef CHERVIL_NODE_CALLEREFFECTS_H
#define CHERVIL_NODE_CALLEREFFECTS_H

#include "base/RequestKey.h"
#include "base/ResultCode.h"
#include "message/CopyPlacement.h"
#include "message/RequestSpec.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::node {

/// Starts the answer.
struct Begin {
  std::uint64_t Handle = 0;
  std::string Key;
  std::string Model;
  message::CopyPlacement Placement = message::CopyPlacement::Owner;
  bool Replayed = false;
};

/// Sends the next part of the answer, which starts at `Offset`.
struct Bytes {
  std::uint64_t Handle = 0;
  std::uint64_t Offset = 0;
  std::string Text;
};

/// Completes the answer.
struct Finish {
  std::uint64_t Handle = 0;
  /// HTTP status.
  std::uint16_t Status = 200;
  std::string ContentType;
  std::uint32_t Tokens = 0;
};

/// Refuses the request, or ends an answer that cannot be completed.
struct Refuse {
  std::uint64_t Handle = 0;
  std::string Key;
  ResultCode Code = ResultCode::Internal;
  Outcome Result = Outcome::Unknown;
  /// Delay that the caller is asked to keep before it retries; 0 if not stated.
  std::chrono::milliseconds RetryAfter{0};
  /// Smallest attempt number that may run; 0 if not stated.
  std::uint32_t NextAttempt = 0;
};

/// Tells the caller to continue at another node, with its key and offset.
struct Moved {
  std::uint64_t Handle = 0;
  std::string Key;
  std::uint64_t Offset = 0;
  /// Caller addresses ("ip:port") of other nodes, best first.
  std::vector<std::string> Addresses;
};

} // namespace chervil::node

#endif
