// What this node does for rollouts of versions: which servers a request may use, and what the
// holder of the duty is told. Use:
//   onRolloutGrant(state, grant, out, now);
//   for (const message::RolloutReport &it : buildRolloutReports(state, node, now)) send(holder,
//   it);
// docs/design/rollouts-and-proofs.md has the rules.
#ifndef CHERVIL_RELAY_ROLLOUTS_H
#define CHERVIL_RELAY_ROLLOUTS_H

#include "base/Time.h"
#include "message/RolloutGrant.h"
#include "message/RolloutReport.h"
#include "relay/Effect.h"
#include "rollout/NodeShare.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervil::relay {

struct State;

/// The rollout of one service as this node knows it.
struct ServiceRollout {
  rollout::NodeShare Share;
};

/// By service.
using Rollouts = std::map<std::string, ServiceRollout>;

/// Servers of a service that are listed and not leaving.
struct VersionCapacity {
  std::uint64_t TargetSlots = 0;
  std::uint64_t OldSlots = 0;
  std::size_t TargetServers = 0;
  std::size_t OldServers = 0;
};

/// Handles a grant or a notice of the holder, or an order that was read in the store (token 0).
/// Returns true if it is new. Does nothing unless Options::Rollouts is set.
bool onRolloutGrant(State &state, const message::RolloutGrant &grant, Effects &out, const Now &now);

/// Returns the reports that are to be sent to the holder now, one for each service with an open
/// order. Gives up the units that are left of the last grants.
std::vector<message::RolloutReport> buildRolloutReports(State &state, const std::string &node,
                                                        const Now &now);

/// Returns what the servers of the target and of all other versions can run.
VersionCapacity capacityOf(const State &state, const std::string &service,
                           const std::string &target);

} // namespace chervil::relay

#endif
