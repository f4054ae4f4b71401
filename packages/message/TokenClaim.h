// From a node to the limit home of a workspace: requests tokens from the workspace's limit.
// Answered by TokenGrant.
#ifndef CHERVIL_MESSAGE_TOKENCLAIM_H
#define CHERVIL_MESSAGE_TOKENCLAIM_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct TokenClaim {
  std::string Workspace;
  /// Sequence number, repeated in the answer.
  std::uint64_t Seq = 0;
  /// Number of tokens requested.
  double Amount = 0;
  /// True if the sender cannot reach the limit home and asks the next node in rank instead, which
  /// grants only a part.
  bool Fallback = false;
};

} // namespace chervil::message

#endif
