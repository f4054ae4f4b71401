// Indirect probe: asks the receiver to probe a member that did not answer the sender.
#ifndef CHERVIL_MESSAGE_PINGREQUEST_H
#define CHERVIL_MESSAGE_PINGREQUEST_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct PingRequest {
  /// Sequence number, repeated in the Ack.
  std::uint64_t Seq = 0;
  /// The member to probe.
  NodeId Target;
  /// Membership updates piggybacked on the request.
  std::vector<MemberUpdate> Updates;
};

} // namespace chervil::message

#endif
