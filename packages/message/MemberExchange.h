// Repairs differences between two member lists that the digests on probes and acks have shown.
#ifndef CHERVIL_MESSAGE_MEMBEREXCHANGE_H
#define CHERVIL_MESSAGE_MEMBEREXCHANGE_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct MemberExchange {
  /// Hash of the sender's members by bucket of names; empty when no answer is wanted.
  std::vector<std::uint32_t> Buckets;
  /// The sender's members in the buckets that differ from those of the receiver.
  std::vector<MemberUpdate> Updates;
  bool Answer = false;
  /// False if Updates was cut at the size limit.
  bool Complete = true;
};

} // namespace chervil::message

#endif
