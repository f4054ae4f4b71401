// Answer of a limit home to a claim.
#ifndef CHERVIL_MESSAGE_TOKENGRANT_H
#define CHERVIL_MESSAGE_TOKENGRANT_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::message {

struct TokenGrant {
  std::string Workspace;
  /// Seq of the claim.
  std::uint64_t Seq = 0;
  /// At most the amount asked for.
  double Granted = 0;
  /// When the rest would be granted.
  std::chrono::milliseconds RemainderAfter{0};
};

} // namespace chervil::message

#endif
