// A request record and the local state that its holder keeps with it.
#ifndef CHERVIL_RECORD_RECORD_H
#define CHERVIL_RECORD_RECORD_H

#include "base/Time.h"
#include "message/RecordCopy.h"

#include <cstdint>
#include <vector>

namespace chervil::record {

/// A node that receives the answer as it grows, to relay it to a caller.
struct Reader {
  NodeId Node;
  /// Chosen by the node; repeated in each message to this reader.
  std::uint64_t Number = 0;
};

/// The replicated record, and state that is local to this node.
struct Record {
  message::RecordCopy Data;
  std::uint32_t Shard = 0;
  /// The owner forwards progress to the standby. Set if owner and executor share a data centre, so
  /// that the standby holds a copy outside it.
  bool ForwardProgress = false;
  /// The executor has been told that it may send the request to a back end.
  bool Granted = false;
  /// Kept in place of an unreachable owner, which may know nothing of it. Such a copy stays when
  /// this node loses its role in the shard, until its executor releases it.
  bool Fallback = false;
  /// Last change, for expiry.
  TimePoint Changed{};
  std::vector<Reader> Readers;
};

} // namespace chervil::record

#endif
