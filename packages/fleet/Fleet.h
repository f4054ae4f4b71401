// VM requests and releases, weight loads and engine orders (section 11). Pure. Use, as the holder
// of duty/fleet:
//   becomeHolder(state, lease, previousLeaseEnd);
//   setOffers(state, offers); setDemand(state, demands); updateVms(state, vms, now);
//   for (const Effect &e : tick(state, now, rng)) ...
// One thread; the state belongs to one node.
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

State makeState(Options options);

/// This node holds the lease from now on. A lower number than one seen before is ignored.
void becomeHolder(State &state, std::uint64_t fencingToken, TimePoint previousLeaseEnd);
/// The lease ended: tick() returns nothing.
void onLeaseLost(State &state);

void setOffers(State &state, std::span<const Offer> offers);
/// Replaces the demand of all models.
void setDemand(State &state, std::span<const Demand> demands);
/// The VM list. A VM that is missing has ended; a reclaimable one that was not given back counts as
/// reclaimed for the hazard of its zone and class.
void updateVms(State &state, std::span<const Vm> list, const Now &now);
void onVmLeaving(State &state, const std::string &vm, const Now &now);

void onVmGranted(State &state, std::uint64_t ask, const std::string &vm, const Now &now);
void onVmRefused(State &state, std::uint64_t ask, const Now &now, Random &rng);
/// The engine acknowledged an order; repeated acknowledgements change nothing.
void onLoadAcknowledged(State &state, const std::string &orderId, const Now &now);

/// What to do now; call it about once per second.
std::vector<Effect> tick(State &state, const Now &now, Random &rng);

/// Weight in (0, 1] with which routing uses the VM; 0 while it is not loaded.
double warmUpWeight(const State &state, const std::string &vm, const Now &now);
/// VMs wanted without and with the reserve for the worst loss of one zone.
std::uint32_t baseTargetVmCount(const State &state);
std::uint32_t targetVmCount(const State &state);
/// Cost per hour of all VMs, running and asked for.
double costPerHour(const State &state);
/// Expected reclaims per VM and hour of a zone and class.
double reclaimRate(const State &state, const OfferKey &offer);

} // namespace chervil::fleet

#endif
