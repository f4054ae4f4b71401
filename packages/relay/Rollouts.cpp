#include "relay/Rollouts.h"

#include "relay/Relay.h"
#include "relay/detail/Evidence.h"
#include "relay/detail/Versions.h"

#include <algorithm>

namespace chervil::relay {
namespace {

using namespace std::chrono_literals;

// Fencing tokens and revisions start again when the store is restored from an older copy. A holder
// that was not heard for this time is taken to have no grant in force: they last for 2 s.
constexpr Duration HolderMemory = 5s;

// The old servers stop at the moment at which an order is completed; their entries lapse, or are
// removed, within this time.
constexpr Duration StopTime = 10s;

bool isSameOrder(const message::RolloutGrant &a, const message::RolloutGrant &b) {
  return a.Order == b.Order && a.Target == b.Target;
}

/// True if what the node knows is newer than the message.
bool isOutdated(const ServiceRollout &rollout, const message::RolloutGrant &grant, const Now &now) {
  const message::RolloutGrant &known = rollout.Share.Grant;
  if (known.Target.empty())
    return false;
  // An order that was read in the store says nothing about the holder.
  if (grant.Token == 0)
    return grant.Order < known.Order || (isSameOrder(grant, known) && grant.Ended <= known.Ended);
  if (now.Steady - rollout.Heard > HolderMemory)
    return false;
  return grant.Token < known.Token || (grant.Token == known.Token && grant.Order < known.Order);
}

/// True if a server of the service is listed that is neither of the versions nor excluded.
bool hasOtherVersion(const State &state, const ServiceRollout &rollout, const std::string &service,
                     std::string_view first, std::string_view second) {
  return std::ranges::any_of(state.Servers.Servers, [&](const auto &it) {
    const BackendEntry &entry = it.second.Entry;
    return entry.Service == service && !it.second.Leaving && !it.second.MissingSince &&
           entry.Version != first && entry.Version != second &&
           !rollout.Excluded.contains(entry.Version);
  });
}

/// Another order takes the place of the one that the node knows.
void replaceOrder(State &state, ServiceRollout &rollout, const message::RolloutGrant &grant) {
  const message::RolloutGrant &known = rollout.Share.Grant;
  // Without a server of a third version the target was in force before: this node has not heard
  // that its rollout was completed. A holder that has not read the newer order yet, or a store that
  // is back from an older copy, brings an earlier order, whose target may be in force.
  const std::string &next = grant.Order < known.Order ? known.Target : grant.Target;
  if (detail::isOpen(rollout) && !rollout.Ignored && known.Target != grant.Target &&
      hasOtherVersion(state, rollout, grant.Service, known.Target, next))
    rollout.Excluded.insert(known.Target);
  rollout.Excluded.erase(grant.Target);
  rollout.Stopping.erase(grant.Target);
  rollout.Broken.clear();
  const VersionCapacity capacity = capacityOf(state, grant.Service, grant.Target);
  rollout.Ignored = capacity.TargetServers > 0 && capacity.OldServers == 0;
}

/// The order was completed: old servers may stop before they are removed from the list.
void excludeOld(const State &state, ServiceRollout &rollout, const message::RolloutGrant &grant,
                const Now &now) {
  if (capacityOf(state, grant.Service, grant.Target).TargetServers == 0)
    return;
  for (const auto &[id, it] : state.Servers.Servers)
    if (it.Entry.Service == grant.Service && it.Entry.Version != grant.Target &&
        rollout.Excluded.insert(it.Entry.Version).second)
      rollout.Stopping.insert(it.Entry.Version);
  rollout.StoppingUntil = now.Steady + StopTime;
}

void logGrant(Effects &out, const message::RolloutGrant &grant, const ServiceRollout &rollout) {
  const char *state = grant.Ended == detail::Completed  ? "completed"
                      : grant.Ended == detail::Reverted ? "reverted"
                                                        : "open";
  out.push_back(LogRecord{"rollout_heard",
                          "",
                          {{"service", grant.Service},
                           {"target", grant.Target},
                           {"order", std::to_string(grant.Order)},
                           {"token", std::to_string(grant.Token)},
                           {"state", state},
                           {"in_force_already", rollout.Ignored ? "true" : "false"}}});
}

/// Requests at old servers, and streams that only these can continue.
std::uint64_t oldOpen(const State &state, const std::string &service, const std::string &target) {
  return static_cast<std::uint64_t>(
      std::ranges::count_if(state.ActiveRequests, [&](const auto &it) {
        const ActiveRequest &request = it.second;
        if (request.Service != service)
          return false;
        const bool isSent = request.Call.Id != 0 || request.Stage == Stage::Streaming;
        return isSent && request.Call.Version != target;
      }));
}

} // namespace

bool onRolloutGrant(State &state, const message::RolloutGrant &grant, Effects &out,
                    const Now &now) {
  if (!state.Settings.Rollouts || grant.Target.empty())
    return false;
  ServiceRollout &rollout = state.Rollouts[grant.Service];
  if (isOutdated(rollout, grant, now))
    return false;
  message::RolloutGrant taken = grant;
  const bool isFromHolder = grant.Token != 0;
  if (!isFromHolder)
    taken.Token = rollout.Share.Grant.Token;
  else if (grant.Token < rollout.Share.Grant.Token)
    rollout.Share.Grant.Token = grant.Token;
  const bool isNewOrder = !isSameOrder(grant, rollout.Share.Grant);
  const std::uint32_t endedBefore = rollout.Share.Grant.Ended;
  const bool wasDivided = !isNewOrder && detail::isDivided(rollout);
  if (isNewOrder)
    replaceOrder(state, rollout, grant);
  const bool isTaken = rollout::onGrant(rollout.Share, taken, now);
  if (isFromHolder)
    rollout.Heard = now.Steady;
  if (isTaken && (grant.Seq != 0 || grant.Ended != 0))
    rollout.Ignored = false;
  if (wasDivided && rollout.Share.Grant.Ended == detail::Completed)
    excludeOld(state, rollout, grant, now);
  if (rollout.Share.Grant.Ended == detail::Reverted)
    rollout.Excluded.insert(grant.Target);
  const bool isNew = isNewOrder || rollout.Share.Grant.Ended != endedBefore;
  if (isNew) {
    logGrant(out, rollout.Share.Grant, rollout);
    detail::onServersChanged(state);
  }
  return isTaken && (isNew || grant.Seq != 0);
}

std::vector<message::RolloutReport> buildRolloutReports(State &state, const std::string &node,
                                                        const Now &now) {
  std::vector<message::RolloutReport> out;
  for (auto &[service, it] : state.Rollouts) {
    if (!detail::isOpen(it))
      continue;
    detail::judgeBroken(state, it, now);
    out.push_back(
        rollout::makeReport(it.Share, node, oldOpen(state, service, it.Share.Grant.Target), now));
  }
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
