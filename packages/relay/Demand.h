// How much reading of prompts the callers of this node ask of a service, and how fast one of its
// backend servers reads. Use:
//   onPromptSent(demand, tokens, now);
//   onPromptRead(demand, tokens, timeToFirstByte);
//   double busy = rate(demand, now) / demand.TokensPerMs / 1000;
#ifndef CHERVIL_RELAY_DEMAND_H
#define CHERVIL_RELAY_DEMAND_H

#include "base/Time.h"

namespace chervil::relay {

struct Demand {
  /// Tokens sent, forgotten exponentially; a rate times DemandMemory.
  double Recent = 0;
  TimePoint Updated{};
  /// Tokens that a server without other work reads in a millisecond; 0 until one was seen.
  double TokensPerMs = 0;
};

/// Time in which a change of the demand becomes known for the most part.
inline constexpr Duration DemandMemory = std::chrono::seconds(4);
/// A shorter prompt says little about the speed: its time to the first byte is mostly set-up.
inline constexpr double MinSpeedTokens = 3000;

/// A prompt was sent; `tokens` are those the server is expected to read.
void onPromptSent(Demand &demand, double tokens, const Now &now);

/// A server began to answer. Other work there makes it look slower, so that fast samples count
/// more.
void onPromptRead(Demand &demand, double tokens, Duration time);

/// Tokens per second.
double rate(const Demand &demand, const Now &now);

} // namespace chervil::relay

#endif
