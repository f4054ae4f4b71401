// How much reading of prompts the callers of this node ask of a service, and how fast one of its
// backend servers reads. Use:
//   onPromptSent(demand, tokens, now);
//   onPrefillDone(demand, tokens, timeToFirstByte);
//   double busy = rate(demand, now) / demand.PrefillTokensPerMs / 1000;
#ifndef CHERVIL_RELAY_PREFILLDEMAND_H
#define CHERVIL_RELAY_PREFILLDEMAND_H

#include "base/Time.h"

namespace chervil::relay {

struct PrefillDemand {
  /// Tokens sent, forgotten exponentially; a rate times DemandDecayTime.
  double DecayedTokens = 0;
  TimePoint Updated{};
  /// Tokens that a server without other work reads in a millisecond; 0 until one was seen.
  double PrefillTokensPerMs = 0;
};

/// Time in which a change of the demand becomes known for the most part.
inline constexpr Duration DemandDecayTime = std::chrono::seconds(4);
/// A shorter prompt says little about the speed: its time to the first byte is mostly set-up.
inline constexpr double MinSampleTokens = 3000;

/// A prompt was sent; `tokens` are those the server is expected to read.
void onPromptSent(PrefillDemand &demand, double tokens, const Now &now);

/// A server began to answer. Other work there makes it look slower, so that fast samples count
/// more.
void onPrefillDone(PrefillDemand &demand, double tokens, Duration time);

/// Tokens per second.
double prefillTokensPerSecond(const PrefillDemand &demand, const Now &now);

} // namespace chervil::relay

#endif
