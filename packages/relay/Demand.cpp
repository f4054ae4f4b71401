#include "relay/Demand.h"

#include <chrono>
#include <cmath>

namespace chervil::relay {
namespace {

// Weights of one sample. Noise of neighbours slows servers by up to 2.5 times, and never speeds
// them up, so that the estimate follows the fast samples.
constexpr double FasterWeight = 0.2;
constexpr double SlowerWeight = 0.01;

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }

double decayed(const Demand &demand, const Now &now) {
  const double age = secondsOf(now.Steady - demand.Updated);
  return demand.Recent * std::exp(-age / secondsOf(DemandMemory));
}

} // namespace

void onPromptSent(Demand &demand, double tokens, const Now &now) {
  demand.Recent = decayed(demand, now) + tokens;
  demand.Updated = now.Steady;
}

void onPromptRead(Demand &demand, double tokens, Duration time) {
  const double ms = secondsOf(time) * 1000;
  if (tokens < MinSpeedTokens || ms <= 0)
    return;
  const double sample = tokens / ms;
  if (demand.TokensPerMs == 0)
    demand.TokensPerMs = sample;
  else
    demand.TokensPerMs +=
        (sample > demand.TokensPerMs ? FasterWeight : SlowerWeight) * (sample - demand.TokensPerMs);
}

double rate(const Demand &demand, const Now &now) {
  return decayed(demand, now) / secondsOf(DemandMemory);
}

} // namespace chervil::relay
