// To the limit home of a workspace: this node needs tokens of its limit.
#ifndef CHERVIL_MESSAGE_TOKENCLAIM_H
#define CHERVIL_MESSAGE_TOKENCLAIM_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct TokenClaim {
  std::string Workspace;
  std::uint64_t Seq = 0;
  double Amount = 0;
  /// The sender cannot reach the home and asks the node next in rank, which grants only a part.
  bool Fallback = false;
};

} // namespace chervil::message

#endif
