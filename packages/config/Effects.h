// The actions that the document store requests from its caller.
#ifndef CHERVIL_CONFIG_EFFECTS_H
#define CHERVIL_CONFIG_EFFECTS_H

#include "base/NodeId.h"
#include "message/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::config {

/// A message to a peer.
struct Send {
  NodeId To;
  message::Message Body;
};

/// A document that the store has replaced by a newer version. From is the version before, 0 for a
/// new document; To is the version now held.
struct AppliedDocument {
  std::string Name;
  std::uint64_t From = 0;
  std::uint64_t To = 0;
};

/// Messages to send and documents that changed.
struct Effects {
  std::vector<Send> Sends;
  std::vector<AppliedDocument> Changes;
};

} // namespace chervil::config

#endif
