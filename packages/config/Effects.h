// What a node has to do after a configuration event.
#ifndef CHERVIL_CONFIG_EFFECTS_H
#define CHERVIL_CONFIG_EFFECTS_H

#include "base/NodeId.h"
#include "message/Message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::config {

struct Send {
  NodeId To;
  message::Message Body;
};

/// A document that has taken effect on this node; From is 0 for a new one.
struct AppliedDocument {
  std::string Name;
  std::uint64_t From = 0;
  std::uint64_t To = 0;
};

struct Effects {
  std::vector<Send> Sends;
  std::vector<AppliedDocument> Changes;
};

} // namespace chervil::config

#endif
