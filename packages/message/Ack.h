// Answer to a Ping. After a PingRequest, the intermediate member sends an Ack with the
// probed member as Subject.
#ifndef CHERVIL_MESSAGE_ACK_H
#define CHERVIL_MESSAGE_ACK_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct Ack {
  /// Seq of the probe that is answered.
  std::uint64_t Seq = 0;
  /// The member that was probed and is alive.
  NodeId Subject;
  /// Membership updates piggybacked on the acknowledgement.
  std::vector<MemberUpdate> Updates;
  /// Hash over the names and versions of all documents that the sender has.
  std::uint64_t DocsHash = 0;
  /// Number of live members that the sender knows, and a hash over them. With a number of 0, the
  /// message carries no digest.
  std::uint32_t MemberCount = 0;
  std::uint64_t MemberHash = 0;
};

} // namespace chervil::message

#endif
