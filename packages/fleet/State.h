// The state behind the fleet decisions. Owned by one node and modified only by the functions of
// Fleet.h.
#ifndef CHERVIL_FLEET_STATE_H
#define CHERVIL_FLEET_STATE_H

#include "fleet/Options.h"
#include "fleet/Vm.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace chervil::fleet {

/// Zone, machine class, and whether reclaimable.
using OfferKey = std::tuple<std::string, std::string, bool>;

/// State of one zone, machine class and kind.
struct OfferState {
  /// Per hour.
  double Price = 0;
  /// Current backoff after refusals, 0 after a grant, and its end.
  Duration Backoff{0};
  TimePoint NotBefore{};
  /// Observed VM hours and reclaims, from which reclaimRate() is estimated.
  double Hours = 0;
  double Reclaims = 0;
};

/// A VM request that was not answered yet.
struct PendingRequest {
  OfferKey Offer;
  TimePoint Sent{};
};

/// State of one VM.
struct VmState {
  Vm Info;
  /// Per hour.
  double Price = 0;
  /// Model assigned to the VM; empty if none.
  std::string Assigned;
  /// Id of the last load order, and the number of orders for this VM, which is part of the id.
  std::string OrderId;
  std::uint32_t Orders = 0;
  TimePoint OrderSent{};
  /// The engine acknowledged the order, or the VM list showed the model as loaded.
  bool Acknowledged = false;
  /// When the model was loaded, which is the start of the warm-up.
  TimePoint LoadedAt{};
  bool Loaded = false;
  bool Released = false;
  TimePoint ReleasedAt{};
  /// When the VM was granted or first listed, and whether the VM list has contained it.
  TimePoint FirstSeenAt{};
  bool Listed = false;
};

/// State of the fleet decisions of one node.
struct State {
  Options Config;
  /// Fencing token of the lease, 0 if this node does not hold it, and the end of the previous
  /// lease.
  std::uint64_t FencingToken = 0;
  TimePoint PreviousLeaseEnd{};
  std::uint64_t HighestFencingToken = 0;
  std::map<OfferKey, OfferState> Offers;
  std::map<std::string, VmState> Vms;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  std::map<std::string, Demand> Demands;
  std::uint64_t NextRequestId = 1;
  TimePoint LastTick{};
  bool Ticked = false;
  /// Whether there are fewer reclaimable VMs than the target, and since when.
  TimePoint BelowTargetSince{};
  bool BelowTarget = false;
  /// Whether there are more VMs than the target, and since when.
  TimePoint AboveTargetSince{};
  bool AboveTarget = false;
  /// Bytes that may be requested from the weight store now: the level of a token bucket.
  double LoadBudgetBytes = 0;
};

} // namespace chervil::fleet

#endif
