// Direct probe of a member; answered by Ack.
#ifndef CHERVIL_MESSAGE_PING_H
#define CHERVIL_MESSAGE_PING_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct Ping {
  /// Sequence number, repeated in the Ack.
  std::uint64_t Seq = 0;
  /// Membership updates piggybacked on the probe.
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
