// What a node sends to callers. For one handle the order is: at most one Begin, any number of
// Bytes, then exactly one of Finish, Refuse or Moved.
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

/// The answer begins.
struct Begin {
  std::uint64_t Handle = 0;
  std::string Key;
  std::string Model;
  message::CopyPlacement Placement = message::CopyPlacement::Owner;
  bool Replayed = false;
};

/// The next part of the answer, at `Offset`.
struct Bytes {
  std::uint64_t Handle = 0;
  std::uint64_t Offset = 0;
  std::string Text;
};

/// The answer is whole.
struct Finish {
  std::uint64_t Handle = 0;
  std::uint16_t Status = 200;
  std::string ContentType;
  std::uint32_t Tokens = 0;
};

/// The request is refused, or its answer cannot be completed.
struct Refuse {
  std::uint64_t Handle = 0;
  std::string Key;
  ResultCode Code = ResultCode::Internal;
  Outcome Result = Outcome::Unknown;
  std::chrono::milliseconds RetryAfter{0};
  /// Smallest attempt number that may run; 0 when not stated.
  std::uint32_t NextAttempt = 0;
};

/// The caller goes on at another node, by key and offset.
struct Moved {
  std::uint64_t Handle = 0;
  std::string Key;
  std::uint64_t Offset = 0;
  std::vector<std::string> Addresses;
};

} // namespace chervil::node

#endif
