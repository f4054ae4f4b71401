#include "relay/Rollouts.h"

#include "relay/Relay.h"

namespace chervil::relay {

bool onRolloutGrant(State &state, const message::RolloutGrant &grant, Effects & /*out*/,
                    const Now &now) {
  if (!state.Settings.Rollouts)
    return false;
  return rollout::onGrant(state.Rollouts[grant.Service].Share, grant, now);
}

std::vector<message::RolloutReport> buildRolloutReports(State &state, const std::string &node,
                                                        const Now &now) {
  std::vector<message::RolloutReport> out;
  for (auto &[service, it] : state.Rollouts)
    if (it.Share.Grant.Ended == 0)
      out.push_back(rollout::makeReport(it.Share, node, 0, now));
  return out;
}

VersionCapacity capacityOf(const State &state, const std::string &service,
                           const std::string &target) {
  VersionCapacity out;
  for (const auto &[id, it] : state.Servers.Servers) {
    if (it.Entry.Service != service || it.Leaving || it.MissingSince)
      continue;
    const bool isTarget = it.Entry.Version == target;
    (isTarget ? out.TargetSlots : out.OldSlots) += it.Entry.Slots;
    ++(isTarget ? out.TargetServers : out.OldServers);
  }
  return out;
}

} // namespace chervil::relay
