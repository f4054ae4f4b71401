#include "relay/PrefillDemand.h"

#include <chrono>
#include <cmath>

namespace chervil::relay {
namespace {

// Weights of a sample that is faster or slower than the estimate. Noisy neighbours slow servers
// down by up to 2.5 times and never speed them up, so the estimate follows the fast samples.
constexpr double FasterWeight = 0.2;
constexpr double SlowerWeight = 0.01;

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

double decayed(const PrefillDemand &demand, const Now &now) {
  const double age = secondsOf(now.Steady - demand.Updated);
  return demand.DecayedTokens * std::exp(-age / secondsOf(DemandDecayTime));
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
  if (demand.PrefillTokensPerMs == 0)
    demand.PrefillTokensPerMs = sample;
  else
    demand.PrefillTokensPerMs +=
        (sample > demand.PrefillTokensPerMs ? FasterWeight : SlowerWeight) *
        (sample - demand.PrefillTokensPerMs);
}

double prefillTokensPerSecond(const PrefillDemand &demand, const Now &now) {
  return decayed(demand, now) / secondsOf(DemandDecayTime);
}

} // namespace chervil::relay
