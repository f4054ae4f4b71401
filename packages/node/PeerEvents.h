// Events caused by peers.
#ifndef CHERVIL_NODE_PEEREVENTS_H
#define CHERVIL_NODE_PEEREVENTS_H

#include "base/NodeId.h"
#include "message/Message.h"

#include <string>

namespace chervil::node {

/// A message from a peer.
struct PeerMessage {
  NodeId From;
  /// Peer address of the sender.
  std::string Address;
  message::Message Body;
};

/// A connection to a peer failed; messages queued on it may be lost.
struct PeerUnreachable {
  std::string Address;
};

} // namespace chervil::node

#endif
