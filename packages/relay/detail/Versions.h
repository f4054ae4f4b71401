// Which versions a request may use during a rollout. Internal to the package. Use:
//   criteria.Versions = detail::versionsFor(state, request, now, rng);
//   ...
//   detail::onVersionSent(state, request, server);
#ifndef CHERVIL_RELAY_DETAIL_VERSIONS_H
#define CHERVIL_RELAY_DETAIL_VERSIONS_H

#include "relay/detail/Context.h"

#include <optional>

namespace chervil::relay::detail {

/// Returns the versions that the request may be sent to now; empty for all. Decides its version if
/// that has not been done for the order in force.
std::optional<VersionFilter> versionsFor(State &state, ActiveRequest &request, const Now &now,
                                         Random &rng);

/// No server of the target can take the request. Returns true if it goes to an old server instead.
bool leaveTarget(State &state, ActiveRequest &request, const Now &now);

/// A stream of the target has to wait for a unit before it can be resumed there.
bool waitsForUnit(State &state, const ActiveRequest &request, const Now &now);

/// Notes the version of the server that the request is sent to, and counts the send.
void onVersionSent(State &state, ActiveRequest &request, const Backend &server);

/// RolloutGrant::Ended.
inline constexpr std::uint32_t Completed = 1;
inline constexpr std::uint32_t Reverted = 2;

/// The service has an order that has not ended.
bool isOpen(const ServiceRollout &rollout);

/// The order is open and keeps its versions apart.
bool isDivided(const ServiceRollout &rollout);

/// Returns the rollout of the service; null if this node has heard of no order for it.
ServiceRollout *findRollout(State &state, const std::string &service);

/// Relates a request that was sent before this node heard of the order to it: it stays at the
/// version of its server.
void joinOrder(const ServiceRollout &rollout, ActiveRequest &request);

/// Updates what depends on the list of servers.
void onServersChanged(State &state);

} // namespace chervil::relay::detail

#endif
