// From a node to the limit home of a backend server: asks to send one request to a server that
// limits the requests of all nodes together. Answered by SendGrant.
#ifndef CHERVIL_MESSAGE_SENDCLAIM_H
#define CHERVIL_MESSAGE_SENDCLAIM_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::message {

struct SendClaim {
  std::string Backend;
  /// Unix time in ms of the start of the server that stated the limit; 0 if unknown.
  std::uint64_t Born = 0;
  /// Number of the claim, repeated in the answer.
  std::uint64_t Seq = 0;
  /// The limit that the sender knows of, in requests per second, and the age of that statement.
  double PerSecond = 0;
  std::chrono::milliseconds Age{0};
  /// True if the sender cannot reach the limit home and asks the next node in rank instead.
  bool Fallback = false;
};

} // namespace chervil::message

#endif
