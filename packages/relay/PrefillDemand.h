// Prefill demand of a service: the rate of prompt tokens that this node sends to it, and how fast
// one of its backend servers reads them. Use:
//   onPromptSent(demand, tokens, now);
//   onPrefillDone(demand, tokens, timeToFirstByte);
//   double busy = prefillTokensPerSecond(demand, now) / demand.PrefillTokensPerMs / 1000;
#ifndef CHERVIL_RELAY_PREFILLDEMAND_H
#define CHERVIL_RELAY_PREFILLDEMAND_H

#include "base/Time.h"

#include <array>
#include <cstddef>

namespace chervil::relay {

/// Samples before the speed is known: their median, so that one prompt that the server had cached
/// does not decide.
inline constexpr std::size_t FirstSamples = 3;

/// Prefill demand of one service on this node.
struct PrefillDemand {
  /// Tokens sent, with exponential decay: the rate times DemandDecayTime.
  double DecayedTokens = 0;
  /// When DecayedTokens was last updated.
  TimePoint Updated{};
  /// Tokens that a server without other load reads per millisecond; 0 before FirstSamples samples.
  double PrefillTokensPerMs = 0;
  std::size_t Samples = 0;
  /// The first samples, in tokens per millisecond.
  std::array<double, FirstSamples> First{};
};

/// Time constant of the decay: 63 % of a change in demand shows after this time.
inline constexpr Duration DemandDecayTime = std::chrono::seconds(4);
/// Prompts shorter than this are not used as samples of the speed, since most of their time to the
/// first byte is set-up.
inline constexpr double MinSampleTokens = 3000;

/// Counts a prompt that was sent; `tokens` is the number that the server is expected to read.
void onPromptSent(PrefillDemand &demand, double tokens, const Now &now);

/// Takes a sample of the speed when a server begins to answer; `time` is the time to the first
/// byte. Other load on the server makes it look slower, and a prompt that it had cached
/// unexpectedly makes it look several times faster; the estimate is a high quantile that few such
/// prompts do not move.
void onPrefillDone(PrefillDemand &demand, double tokens, Duration time);

/// Returns the current demand in prompt tokens per second.
double prefillTokensPerSecond(const PrefillDemand &demand, const Now &now);

} // namespace chervil::relay

#endif
