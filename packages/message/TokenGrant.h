// Answer to TokenClaim, from the limit home.
#ifndef CHERVIL_MESSAGE_TOKENGRANT_H
#define CHERVIL_MESSAGE_TOKENGRANT_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::message {

struct TokenGrant {
  std::string Workspace;
  /// Seq of the TokenClaim.
  std::uint64_t Seq = 0;
  /// Number of tokens granted; at most the amount requested.
  double Granted = 0;
  /// Time after which the remainder would be granted.
  std::chrono::milliseconds RemainderAfter{0};
};

} // namespace chervil::message

#endif
