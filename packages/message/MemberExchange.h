// Reconciles two member lists after the digests on probes and acknowledgements have differed.
#ifndef CHERVIL_MESSAGE_MEMBEREXCHANGE_H
#define CHERVIL_MESSAGE_MEMBEREXCHANGE_H

#include "message/MemberUpdate.h"

#include <vector>

namespace chervil::message {

struct MemberExchange {
  /// Hashes of the sender's members, one for each bucket of names; empty if no answer is wanted.
  std::vector<std::uint32_t> Buckets;
  /// The sender's members in the buckets whose hashes differ from the receiver's.
  std::vector<MemberUpdate> Updates;
  /// True if this message answers another MemberExchange.
  bool Answer = false;
  /// False if Updates was truncated at the size limit.
  bool Complete = true;
};

} // namespace chervil::message

#endif
