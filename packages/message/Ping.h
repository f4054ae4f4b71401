// Direct probe of a member.
#ifndef CHERVIL_MESSAGE_PING_H
#define CHERVIL_MESSAGE_PING_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct Ping {
  std::uint64_t Seq = 0;
  std::vector<MemberUpdate> Updates;
  /// Hash over all document names and versions the sender has.
  std::uint64_t DocsHash = 0;
  /// Number of live members the sender knows and a hash over them; no digest when the number is 0.
  std::uint32_t MemberCount = 0;
  std::uint64_t MemberHash = 0;
};

} // namespace chervil::message

#endif
