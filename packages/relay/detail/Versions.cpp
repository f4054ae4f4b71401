#include "relay/detail/Versions.h"

#include <utility>

namespace chervil::relay::detail {
namespace {

/// Decides the version of a request for the order in force.
void decide(ServiceRollout &rollout, ActiveRequest &request, const Now &now, Random &rng) {
  VersionUse &use = request.Versions;
  if (use.Order == rollout.Share.Grant.Order)
    return;
  joinOrder(rollout, request);
  if (!isOpen(rollout) || !request.TriedServers.empty())
    return;
  use.Target = use.IsCovered = rollout::takeRequest(rollout.Share, request.Route->Name, now, rng);
  use.CountedAt = rollout.Share.Seq;
}

/// Versions whose servers stopped after a completed order may be used again.
void endStopping(ServiceRollout &rollout) {
  for (const std::string &it : rollout.Stopping)
    rollout.Excluded.erase(it);
  rollout.Stopping.clear();
}

/// While the rollout is closing, nothing goes to the old servers any more. Requests that wait, and
/// retries, go to the target, where they are counted.
void leaveOld(ServiceRollout &rollout, ActiveRequest &request, const Now &now) {
  if (rollout::isClosed(rollout.Share, now))
    request.Versions.Target = true;
}

/// The target may get the request now.
bool isTargetAllowed(const ServiceRollout &rollout, const VersionUse &use, const Now &now) {
  return use.IsCovered ? rollout::isGranted(rollout.Share, now)
                       : rollout::allowsAnother(rollout.Share, now);
}

} // namespace

bool isOpen(const ServiceRollout &rollout) {
  return !rollout.Share.Grant.Target.empty() && rollout.Share.Grant.Ended == 0;
}

bool isDivided(const ServiceRollout &rollout) { return isOpen(rollout) && !rollout.Ignored; }

ServiceRollout *findRollout(State &state, const std::string &service) {
  if (!state.Settings.Rollouts)
    return nullptr;
  const auto it = state.Rollouts.find(service);
  return it == state.Rollouts.end() || it->second.Share.Grant.Target.empty() ? nullptr
                                                                             : &it->second;
}

void joinOrder(const ServiceRollout &rollout, ActiveRequest &request) {
  VersionUse &use = request.Versions;
  const message::RolloutGrant &grant = rollout.Share.Grant;
  if (use.Order == grant.Order)
    return;
  use.Order = grant.Order;
  use.IsCovered = use.FailedAtTarget = use.FailedAtOld = false;
  use.Target = !request.TriedServers.empty() && request.Call.Version == grant.Target;
}

std::optional<VersionFilter> versionsFor(State &state, ActiveRequest &request, const Now &now,
                                         Random &rng) {
  ServiceRollout *rollout = findRollout(state, request.Service);
  if (rollout == nullptr)
    return std::nullopt;
  if (!rollout->Stopping.empty() && now.Steady >= rollout->StoppingUntil)
    endStopping(*rollout);
  decide(*rollout, request, now, rng);
  VersionUse &use = request.Versions;
  const message::RolloutGrant &grant = rollout->Share.Grant;
  VersionFilter out;
  if (!rollout->Excluded.empty())
    out.Excluded = &rollout->Excluded;
  using enum VersionFilter::Kind;
  if (request.Stage == Stage::Streaming) {
    // Another version may continue the stream differently.
    out.Listed = Only;
    out.Version = request.Call.Version;
    out.IsTarget = isDivided(*rollout) && request.Call.Version == grant.Target;
    if (out.IsTarget && !isTargetAllowed(*rollout, use, now))
      out.Listed = None;
    return out;
  }
  if (!isDivided(*rollout))
    return out.Excluded == nullptr ? std::nullopt : std::optional(out);
  leaveOld(*rollout, request, now);
  out.Version = grant.Target;
  if (use.Target && isTargetAllowed(*rollout, use, now)) {
    out.Listed = Only;
    out.Servers = grant.Servers;
    out.Order = grant.Order;
    out.IsTarget = true;
  } else {
    out.Listed = AllBut;
  }
  return out;
}

bool leaveTarget(State &state, ActiveRequest &request, const Now &now) {
  ServiceRollout *rollout = findRollout(state, request.Service);
  VersionUse &use = request.Versions;
  if (rollout == nullptr || !isDivided(*rollout) || !use.Target ||
      request.Stage == Stage::Streaming || rollout::isClosed(rollout->Share, now))
    return false;
  // After a report the holder counts on it.
  if (use.IsCovered && use.CountedAt == rollout->Share.Seq)
    rollout::giveBack(rollout->Share);
  use.Target = use.IsCovered = false;
  return true;
}

bool waitsForUnit(State &state, const ActiveRequest &request, const Now &now) {
  const ServiceRollout *rollout = findRollout(state, request.Service);
  return rollout != nullptr && isDivided(*rollout) && request.Stage == Stage::Streaming &&
         request.Call.Version == rollout->Share.Grant.Target &&
         !isTargetAllowed(*rollout, request.Versions, now);
}

void onVersionSent(State &state, ActiveRequest &request, const Backend &server) {
  if (!state.Settings.Rollouts)
    return;
  VersionUse &use = request.Versions;
  request.Call.Version = server.Entry.Version;
  ServiceRollout *rollout = findRollout(state, request.Service);
  if (rollout == nullptr || !isOpen(*rollout))
    return;
  const bool isTarget = request.Call.Version == rollout->Share.Grant.Target;
  if (isTarget && !use.IsCovered)
    rollout::takeAnother(rollout->Share);
  use.Target = isTarget;
  use.IsCovered = false;
}

void onServersChanged(State &state) {
  if (state.Rollouts.empty())
    return;
  std::set<std::string, std::less<>> onTrial;
  std::map<std::string, VersionSet> listed;
  for (const auto &[id, it] : state.Servers.Servers) {
    const auto rollout = state.Rollouts.find(it.Entry.Service);
    if (rollout == state.Rollouts.end())
      continue;
    listed[it.Entry.Service].insert(it.Entry.Version);
    if (rollout->second.Excluded.contains(it.Entry.Version) ||
        (isDivided(rollout->second) && it.Entry.Version == rollout->second.Share.Grant.Target))
      onTrial.insert(id);
  }
  setOnTrial(state.Servers.PrefixCache, std::move(onTrial));
  // After a completed order an excluded version may come into force by a plain release, once its
  // earlier servers have gone.
  for (auto &[service, it] : state.Rollouts) {
    const VersionSet &present = listed[service];
    if (it.Share.Grant.Ended == Completed)
      std::erase_if(it.Excluded, [&](const auto &version) { return !present.contains(version); });
  }
}

} // namespace chervil::relay::detail
