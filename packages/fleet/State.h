// Everything the fleet decisions know; owned by one node, changed only by the functions of Fleet.h.
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

/// Zone, machine class, reclaimable.
using OfferKey = std::tuple<std::string, std::string, bool>;

struct OfferState {
  double Price = 0;
  Duration Backoff{0};
  TimePoint NotBefore{};
  /// VM hours and reclaims seen, for the reclaim hazard.
  double Hours = 0;
  double Reclaims = 0;
};

struct PendingRequest {
  OfferKey Offer;
  TimePoint Sent{};
};

struct VmState {
  Vm Info;
  double Price = 0;
  /// Model it is meant for; empty while none is assigned.
  std::string Assigned;
  /// Id of the order sent last, and its count on this VM, which is part of the id.
  std::string OrderId;
  std::uint32_t Orders = 0;
  TimePoint OrderSent{};
  /// The engine acknowledged the order or the list showed the model.
  bool Acknowledged = false;
  /// When the model was loaded; warm-up starts there.
  TimePoint LoadedAt{};
  bool Loaded = false;
  bool Released = false;
  TimePoint ReleasedAt{};
  /// When it was granted or first listed, and whether the list has shown it.
  TimePoint FirstSeenAt{};
  bool Listed = false;
};

struct State {
  Options Config;
  /// Number of the lease held, 0 when not holder, and the end of the lease before it.
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
  /// Since when the reclaimable target has not been reached.
  TimePoint BelowTargetSince{};
  bool BelowTarget = false;
  TimePoint AboveTargetSince{};
  bool AboveTarget = false;
  /// Bytes the weight store may be asked for now.
  double LoadBudgetBytes = 0;
};

} // namespace chervil::fleet

#endif
