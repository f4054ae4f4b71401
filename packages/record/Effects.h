// What the record table asks the node to do.
#ifndef CHERVIL_RECORD_EFFECTS_H
#define CHERVIL_RECORD_EFFECTS_H

#include "base/Invariant.h"
#include "base/NodeId.h"
#include "message/Message.h"

#include <vector>

namespace chervil::record {

struct OutgoingMessage {
  /// May be the node itself.
  NodeId To;
  message::Message Payload;
};

struct Effects {
  std::vector<OutgoingMessage> Messages;
  /// Records the node must execute from here on; their Executor is this node.
  std::vector<message::RecordCopy> Takeovers;
  /// Shards whose new standby holds the whole table.
  std::vector<message::ShardEpoch> ReadyStandbys;
  std::vector<Invariant> Violations;
};

} // namespace chervil::record

#endif
