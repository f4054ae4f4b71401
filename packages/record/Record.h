// A request record with what its holder needs to know about it.
#ifndef CHERVIL_RECORD_RECORD_H
#define CHERVIL_RECORD_RECORD_H

#include "base/Time.h"
#include "message/RecordCopy.h"

#include <cstdint>
#include <vector>

namespace chervil::record {

/// A node that relays the answer to a caller.
struct Reader {
  NodeId Node;
  std::uint64_t Number = 0;
};

struct Record {
  message::RecordCopy Data;
  std::uint32_t Shard = 0;
  /// Progress is forwarded to the standby, because owner and executor share a data centre.
  bool ForwardProgress = false;
  /// The executor has been told that it may send.
  bool Granted = false;
  TimePoint Changed{};
  std::vector<Reader> Readers;
};

} // namespace chervil::record

#endif
