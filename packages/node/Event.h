// Variant of all events that a node handles.
#ifndef CHERVIL_NODE_EVENT_H
#define CHERVIL_NODE_EVENT_H

#include "node/BackendEvents.h"
#include "node/CallerEvents.h"
#include "node/PeerEvents.h"
#include "node/PlatformEvents.h"

#include <variant>

namespace chervil::node {

using Event = std::variant<CallerRequest, CallerFetch, CallerDisconnected, BackendHead,
                           BackendBytes, BackendEnd, KvExported, BackendLoad, BackendList,
                           BackendNotice, NodeNotices, Document, ShardDuty, ShardMapWritten, Leave,
                           PeerMessage, PeerUnreachable, OwnLoad, Tick>;

} // namespace chervil::node

#endif
