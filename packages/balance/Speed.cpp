#include "balance/Speed.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chervil::balance {
namespace {

// Samples that the prior counts for: a server with as many samples gets half of their deviation.
constexpr double PriorWeight = 2;
// Samples beyond this number do not make an estimate last longer without new ones.
constexpr double MaxWeight = 16;
// Standard deviation of the logarithm of one sample. Noisy neighbours and unknown work of other
// nodes change the time of a request by up to 2.5 times.
constexpr double SampleError = 0.6;
// Bound on one sample, so that a single stall is not taken for a slow server.
constexpr double MaxSampleFactor = 8;
// The prior follows the last samples of all servers of the service, some 20 s at 28 per second.
constexpr double PriorMemorySamples = 500;
constexpr double WeightSteps = 4;
// The largest weight that takes a single byte in the encoding.
constexpr double MaxEncodedWeight = 127;

const double MaxLogFactor = std::log(MaxSpeedFactor);

double millisOf(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

} // namespace

std::optional<double> addTimedWork(ServicePrior &prior, double units, Duration time) {
  const double ms = millisOf(time);
  if (units <= 0 || ms <= 0)
    return std::nullopt;
  const double logMillis = std::log(ms / units);
  const double before = prior.LogMillis;
  const bool isKnown = prior.Samples >= MinPriorSamples;
  prior.Samples = std::min(prior.Samples + 1, PriorMemorySamples);
  prior.LogMillis += (logMillis - prior.LogMillis) / prior.Samples;
  if (!isKnown)
    return std::nullopt;
  return std::exp(logMillis - before);
}

std::optional<double> unitsPerMs(const ServicePrior &prior) {
  if (prior.Samples < MinPriorSamples)
    return std::nullopt;
  return std::exp(-prior.LogMillis);
}

void addSample(SpeedEvidence &evidence, double factor, double weight, const Now &now) {
  evidence = decayed(evidence, now);
  const double bounded = std::clamp(factor, 1 / MaxSampleFactor, MaxSampleFactor);
  evidence.Weight += weight;
  evidence.LogSum += weight * std::log(bounded);
}

SpeedEvidence decayed(const SpeedEvidence &evidence, const Now &now) {
  if (evidence.Weight <= 0)
    return {0, 0, now.Steady};
  const double age = std::max(0.0, millisOf(now.Steady - evidence.Updated));
  const double left = std::exp(-age / millisOf(SpeedMemory));
  return {left * evidence.Weight, left * evidence.LogSum, now.Steady};
}

SpeedEstimate estimateSpeed(const SpeedEvidence &evidence) {
  const double counted = std::min(evidence.Weight, MaxWeight);
  const double error = SampleError / std::sqrt(PriorWeight + counted);
  if (counted <= 0)
    return {1, error};
  const double mean = evidence.LogSum / evidence.Weight;
  const double shrunk = mean * counted / (counted + PriorWeight);
  return {std::exp(std::clamp(shrunk, -MaxLogFactor, MaxLogFactor)), error};
}

EncodedSpeed encodeSpeed(const SpeedEvidence &evidence) {
  const double weight = std::min(std::floor(evidence.Weight * WeightSteps), MaxEncodedWeight);
  if (weight < 1)
    return {};
  const double mean = std::clamp(evidence.LogSum / evidence.Weight, -MaxLogFactor, MaxLogFactor);
  return {static_cast<std::uint8_t>(std::lround(SpeedSteps * (1 + mean / MaxLogFactor))),
          static_cast<std::uint8_t>(weight)};
}

SpeedEvidence withPeers(SpeedEvidence own, std::int64_t factors, std::int64_t weights) {
  own.Weight += double(weights) / WeightSteps;
  own.LogSum += MaxLogFactor / WeightSteps * (double(factors) / SpeedSteps - double(weights));
  return own;
}

} // namespace chervil::balance
