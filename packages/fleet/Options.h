// Settings of the fleet decisions, with their defaults.
#ifndef CHERVIL_FLEET_OPTIONS_H
#define CHERVIL_FLEET_OPTIONS_H

#include "base/Time.h"

#include <cstdint>

namespace chervil::fleet {

struct Options {
  /// Highest cost per hour of all VMs, running and asked for; from the contracts.
  double CostCeiling = 1000;
  /// Capacity one VM brings, in slots.
  double SlotsPerVm = 16;
  /// Load up to which slots are planned.
  double TargetLoad = 0.85;
  /// VMs beyond the target kept this long before they are given back, so that a short dip of demand
  /// does not cost a weight load.
  Duration SurplusRetention = std::chrono::minutes(5);

  /// Backoff of a zone and class after a refusal: decorrelated jitter between these.
  Duration BackoffMin = std::chrono::seconds(1);
  Duration BackoffMax = std::chrono::seconds(60);
  /// Refused or waiting for this long in all zones, reclaimable VMs are bridged by on-demand VMs.
  Duration OnDemandDelay = std::chrono::seconds(5);
  /// A request that was not answered for this long counts as refused.
  Duration RequestTimeout = std::chrono::minutes(5);

  /// Cost of a reclaim in hours of the VM's price: the weight load and the warm-up are lost.
  double ReclaimCostHours = 0.25;
  /// Reclaims per VM and hour assumed before any were seen, and the hours this assumption weighs.
  double PriorReclaimRate = 0.05;
  double PriorHours = 20;

  /// Rate of the weight store, and how long a burst it accepts.
  double StoreBytesPerSecond = 5e9;
  Duration StoreBurst = std::chrono::seconds(2);
  /// Time over which a new engine's weight rises from WarmUpStart to 1.
  Duration WarmUp = std::chrono::seconds(30);
  double WarmUpStart = 0.1;
  /// Margin after the old lease's end for back ends that do not check fencing numbers.
  Duration LeaseMargin = std::chrono::seconds(1);
  /// An order that was not acknowledged is sent again, with the same id, after this time.
  Duration OrderResendPeriod = std::chrono::seconds(5);
};

} // namespace chervil::fleet

#endif
