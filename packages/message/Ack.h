// Answer to Ping or, through another member, to PingRequest.
#ifndef CHERVIL_MESSAGE_ACK_H
#define CHERVIL_MESSAGE_ACK_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct Ack {
  std::uint64_t Seq = 0;
  /// The member that is known to live.
  NodeId Subject;
  std::vector<MemberUpdate> Updates;
  std::uint64_t DocsHash = 0;
  /// Number of live members the sender knows and a hash over them; no digest when the number is 0.
  std::uint32_t MemberCount = 0;
  std::uint64_t MemberHash = 0;
};

} // namespace chervil::message

#endif
