// Variant of all effects: the actions that a node requests from the process that hosts it.
#ifndef CHERVIL_NODE_EFFECT_H
#define CHERVIL_NODE_EFFECT_H

#include "node/CallerEffects.h"
#include "node/SystemEffects.h"

#include <variant>

namespace chervil::node {

using Effect =
    std::variant<Begin, Bytes, Finish, Refuse, Moved, SendPeer, CallBackend, CancelBackend,
                 ExportKv, WriteShardMap, IncrementCounter, InvariantViolation, Stopped>;

} // namespace chervil::node

#endif
