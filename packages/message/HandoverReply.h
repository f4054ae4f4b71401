// Answer to Handover: the receiver executes the request, or does not.
#ifndef CHERVIL_MESSAGE_HANDOVERREPLY_H
#define CHERVIL_MESSAGE_HANDOVERREPLY_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct HandoverReply {
  RequestKey Key;
  std::uint32_t Run = 0;
  bool Accepted = false;
};

} // namespace chervil::message

#endif
