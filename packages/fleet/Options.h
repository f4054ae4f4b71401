// Options of the fleet decisions and their defaults.
#ifndef CHERVIL_FLEET_OPTIONS_H
#define CHERVIL_FLEET_OPTIONS_H

#include "base/Time.h"

#include <cstdint>

namespace chervil::fleet {

/// Options of the fleet decisions.
struct Options {
  /// Maximum cost per hour of all VMs, running and requested; from the contracts.
  double CostCeiling = 1000;
  /// Capacity of one VM in slots.
  double SlotsPerVm = 16;
  /// Fraction of the slots that is planned to be in use.
  double TargetLoad = 0.85;
  /// VMs above the target are released only after this time, so that a short drop in demand does
  /// not cause weights to be loaded again.
  Duration SurplusRetention = std::chrono::minutes(5);

  /// Bounds of the backoff of a zone and machine class after a refusal, with decorrelated jitter.
  Duration BackoffMin = std::chrono::seconds(1);
  Duration BackoffMax = std::chrono::seconds(60);
  /// On-demand VMs are requested temporarily when reclaimable VMs have been missing for this long.
  Duration OnDemandDelay = std::chrono::seconds(5);
  /// A VM request that was not answered for this long counts as refused.
  Duration RequestTimeout = std::chrono::minutes(5);

  /// Cost of a reclaim as hours of the price of the VM: the weight load and the warm-up are lost.
  double ReclaimCostHours = 0.25;
  /// Prior of the reclaim rate, in reclaims per VM and hour, and its weight in VM hours.
  double PriorReclaimRate = 0.05;
  double PriorHours = 20;

  /// Maximum rate of the weight store, and the burst that it accepts as time at this rate.
  double StoreBytesPerSecond = 5e9;
  Duration StoreBurst = std::chrono::seconds(2);
  /// Time over which the routing weight of a new engine rises from WarmUpStart to 1.
  Duration WarmUp = std::chrono::seconds(30);
  double WarmUpStart = 0.1;
  /// Safety margin after the end of the previous lease for back ends that do not check fencing
  /// tokens.
  Duration LeaseMargin = std::chrono::seconds(1);
  /// An order that was not acknowledged is sent again with the same id after this time.
  Duration OrderResendPeriod = std::chrono::seconds(5);
};

} // namespace chervil::fleet

#endif
