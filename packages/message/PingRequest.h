// Asks the receiver to probe a member that did not answer the sender.
#ifndef CHERVIL_MESSAGE_PINGREQUEST_H
#define CHERVIL_MESSAGE_PINGREQUEST_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct PingRequest {
  std::uint64_t Seq = 0;
  NodeId Target;
  std::vector<MemberUpdate> Updates;
};

} // namespace chervil::message

#endif
