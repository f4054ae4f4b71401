// Turns settings into the options of the decision packages.
#ifndef CHERVIL_DAEMON_NODEOPTIONS_H
#define CHERVIL_DAEMON_NODEOPTIONS_H

#include "node/Node.h"
#include "settings/NodeSettings.h"

namespace chervil::daemon {

node::PartOptions nodeOptions(const NodeSettings &settings);

} // namespace chervil::daemon

#endif
