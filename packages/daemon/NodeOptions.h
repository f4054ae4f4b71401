// Turns settings into the options of the decision packages.
#ifndef CHERVIL_DAEMON_NODEOPTIONS_H
#define CHERVIL_DAEMON_NODEOPTIONS_H

#include "node/Node.h"
#include "settings/NodeSettings.h"

namespace chervil::daemon {

node::ComponentOptions nodeOptions(const NodeSettings &settings);

membership::Options membershipOptions(const NodeSettings &settings);

/// This node as its peers know it; `now` is its start.
message::MemberUpdate selfOf(const NodeSettings &settings, const Now &now);

} // namespace chervil::daemon

#endif
