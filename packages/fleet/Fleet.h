// Decides on VM requests and releases, weight loads and engine orders (section 11 of
// docs/design.md). Pure: performs no I/O. Usage by the holder of duty/fleet:
//   becomeHolder(state, lease, previousLeaseEnd);
//   setOffers(state, offers); setDemand(state, demands); updateVms(state, vms, now);
//   for (const Effect &e : tick(state, now, rng)) execute(e);
// Not thread-safe. The state belongs to one node.
#ifndef CHERVIL_FLEET_FLEET_H
#define CHERVIL_FLEET_FLEET_H

#include "base/Random.h"
#include "fleet/Effect.h"
#include "fleet/State.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace chervil::fleet {

/// Returns an empty state that does not hold the lease.
State makeState(Options options);

/// This node holds the lease from now on. Ignored unless the token is higher than all before.
void becomeHolder(State &state, std::uint64_t fencingToken, TimePoint previousLeaseEnd);
/// The lease ended. tick() returns no effects until becomeHolder().
void onLeaseLost(State &state);

/// Replaces the offers and their prices.
void setOffers(State &state, std::span<const Offer> offers);
/// Replaces the demand of all models.
void setDemand(State &state, std::span<const Demand> demands);
/// Applies the VM list. A VM that is missing has ended. A reclaimable one that was not released
/// counts as reclaimed in the reclaim rate of its zone and machine class.
void updateVms(State &state, std::span<const Vm> list, const Now &now);
/// The VM is leaving. A reclaimable one that was not released counts as reclaimed.
void onVmLeaving(State &state, const std::string &vm, const Now &now);

/// Answers to the VM request `requestId`; ignored if it is not pending.
void onVmGranted(State &state, std::uint64_t requestId, const std::string &vm, const Now &now);
void onVmRefused(State &state, std::uint64_t requestId, const Now &now, Random &rng);
/// The engine acknowledged a load order. Repeated acknowledgements have no effect.
void onLoadAcknowledged(State &state, const std::string &orderId, const Now &now);

/// Returns the actions to carry out now. Call it about once per second.
std::vector<Effect> tick(State &state, const Now &now, Random &rng);

/// Routing weight of a VM in (0, 1]; 0 if no model is loaded.
double warmUpWeight(const State &state, const std::string &vm, const Now &now);
/// Target number of VMs without and with the reserve for the loss of the largest zone.
std::uint32_t baseTargetVmCount(const State &state);
std::uint32_t targetVmCount(const State &state);
/// Cost per hour of all VMs, running and requested.
double costPerHour(const State &state);
/// Estimated reclaims per VM and hour of an offer.
double reclaimRate(const State &state, const OfferKey &offer);

} // namespace chervil::fleet

#endif
