// Answer to Handover.
#ifndef CHERVIL_MESSAGE_HANDOVERREPLY_H
#define CHERVIL_MESSAGE_HANDOVERREPLY_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct HandoverReply {
  RequestKey Key;
  std::uint32_t Run = 0;
  /// True if the sender of this reply now executes the request.
  bool Accepted = false;
};

} // namespace chervil::message

#endif
