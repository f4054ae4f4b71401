#include "relay/PrefillDemand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace chervil::relay {
namespace {

// The estimate follows this quantile of the samples. Noisy neighbours and queues make most of them
// slower than the server reads; 1 to 4 in 100 are faster, because the prompt was cached.
constexpr double SpeedQuantile = 0.85;
// Least step of the logarithm of the estimate, so that it follows changes of the servers. Larger
// steps let the estimate fall within a second when all servers have queues.
constexpr double LeastStep = 0.04;

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

double decayed(const PrefillDemand &demand, const Now &now) {
  const double age = secondsOf(now.Steady - demand.Updated);
  return demand.DecayedTokens * std::exp(-age / secondsOf(DemandDecayTime));
}

double medianOf(std::array<double, FirstSamples> samples) {
  std::ranges::sort(samples);
  return samples[samples.size() / 2];
}

} // namespace

void onPromptSent(PrefillDemand &demand, double tokens, const Now &now) {
  demand.DecayedTokens = decayed(demand, now) + tokens;
  demand.Updated = now.Steady;
}

void onPrefillDone(PrefillDemand &demand, double tokens, Duration time) {
  const double ms = secondsOf(time) * 1000;
  if (tokens < MinSampleTokens || ms <= 0)
    return;
  const double sample = tokens / ms;
  ++demand.Samples;
  if (demand.Samples <= FirstSamples) {
    demand.First.at(demand.Samples - 1) = sample;
    if (demand.Samples == FirstSamples)
      demand.PrefillTokensPerMs = medianOf(demand.First);
    return;
  }
  const double step = std::max(LeastStep, 1 / static_cast<double>(demand.Samples));
  const bool isFaster = sample > demand.PrefillTokensPerMs;
  demand.PrefillTokensPerMs *= std::exp(step * (SpeedQuantile - (isFaster ? 0 : 1)));
}

double prefillTokensPerSecond(const PrefillDemand &demand, const Now &now) {
  return decayed(demand, now) / secondsOf(DemandDecayTime);
}

} // namespace chervil::relay
