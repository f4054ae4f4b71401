// Answer to SendClaim, from the limit home.
#ifndef CHERVIL_MESSAGE_SENDGRANT_H
#define CHERVIL_MESSAGE_SENDGRANT_H

#include <chrono>
#include <cstdint>

namespace chervil::message {

struct SendGrant {
  /// Seq of the SendClaim.
  std::uint64_t Seq = 0;
  /// The request may be sent now.
  bool Granted = false;
  /// Time after which another claim may be granted. Only if not granted.
  std::chrono::milliseconds RetryAfter{0};
};

} // namespace chervil::message

#endif
