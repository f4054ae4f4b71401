// Actions that the record table asks the node to carry out.
#ifndef CHERVIL_RECORD_EFFECTS_H
#define CHERVIL_RECORD_EFFECTS_H

#include "base/Invariant.h"
#include "base/NodeId.h"
#include "message/Message.h"

#include <vector>

namespace chervil::record {

/// A message to a member.
struct OutgoingMessage {
  /// May be this node itself.
  NodeId To;
  message::Message Payload;
};

struct Effects {
  /// To be sent in this order.
  std::vector<OutgoingMessage> Messages;
  /// Records that this node has to execute from now on; it is already their Executor.
  std::vector<message::RecordCopy> Takeovers;
  /// Shards whose new standby holds the complete table, to be reported to the holder of the map.
  std::vector<message::ShardEpoch> ReadyStandbys;
  /// Invariants that were found violated.
  std::vector<Invariant> Violations;
};

} // namespace chervil::record

#endif
