// Learns how fast a backend server is, relative to the other servers of its service. Use:
//   if (const auto factor = addTimedWork(prior, tokens, time))
//     addSample(evidence, *factor, 1, now);
//   const SpeedEstimate it = estimateSpeed(decayed(evidence, now));
//   double expected = it.Factor * tokens;   // in tokens of an average server
// Evidence is additive: the sum of the evidence of several nodes is that of all their samples.
#ifndef CHERVIL_BALANCE_SPEED_H
#define CHERVIL_BALANCE_SPEED_H

#include "base/Time.h"

#include <cstdint>
#include <optional>

namespace chervil::balance {

/// Samples of one server, with exponential decay.
struct SpeedEvidence {
  /// Number of samples.
  double Weight = 0;
  /// Sum of the natural logarithms of their time factors.
  double LogSum = 0;
  TimePoint Updated{};
};

/// Time of a server for a given work, relative to the average of its service.
struct SpeedEstimate {
  /// Above 1 for a slow server.
  double Factor = 1;
  /// Standard error of the logarithm of Factor.
  double Error = 0;
};

/// Usual time of one unit of work (a prompt token, or an event) over all servers of a service.
struct ServicePrior {
  /// Mean of the logarithm of the time in ms.
  double LogMillis = 0;
  double Samples = 0;
};

/// Evidence in the form in which it is sent to other nodes: a byte each in the encoding.
struct EncodedSpeed {
  /// 0 to 2 * SpeedSteps; SpeedSteps for an average server.
  std::uint8_t Factor = 0;
  /// In quarters of a sample; 0 for no evidence.
  std::uint8_t Weight = 0;
};

/// Bound on the estimate in both directions.
inline constexpr double MaxSpeedFactor = 4;
/// Resolution of EncodedSpeed::Factor: steps from an average server to either bound.
inline constexpr unsigned SpeedSteps = 32;
/// Time constant of the decay of evidence. A change shows by 63 % after this time, and an estimate
/// without new samples is close to the prior after five times as long.
inline constexpr Duration SpeedMemory = std::chrono::seconds(2);
/// Samples of a service before its prior is used.
inline constexpr double MinPriorSamples = 8;

/// Records that `units` of work took `time`. Returns the time relative to the service's usual one;
/// empty while that is not known yet.
std::optional<double> addTimedWork(ServicePrior &prior, double units, Duration time);

/// Returns the usual units of work per ms; empty while unknown.
std::optional<double> unitsPerMs(const ServicePrior &prior);

/// Adds a time factor relative to the service.
void addSample(SpeedEvidence &evidence, double factor, double weight, const Now &now);

/// Returns the evidence as it counts now.
SpeedEvidence decayed(const SpeedEvidence &evidence, const Now &now);

/// Returns the estimate that follows from decayed evidence and the prior.
SpeedEstimate estimateSpeed(const SpeedEvidence &evidence);

EncodedSpeed encodeSpeed(const SpeedEvidence &evidence);

/// Adds the evidence of other nodes: the sums of their weights, and of their factors times weights.
SpeedEvidence withPeers(SpeedEvidence own, std::int64_t factors, std::int64_t weights);

} // namespace chervil::balance

#endif
