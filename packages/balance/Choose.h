// Chooses among servers whose load is known from reports that have aged, so that nodes with the
// same reports do not all choose the same server. Use:
//   const std::size_t it = chooseCandidate(candidates, outlook, rng);
//   send(candidates[it]);
// All waits and costs are in tokens of an average server; see Forecast.h. docs/design/even-load.md
// gives the reasons and the alternatives.
#ifndef CHERVIL_BALANCE_CHOOSE_H
#define CHERVIL_BALANCE_CHOOSE_H

#include "balance/Forecast.h"
#include "base/Random.h"

#include <cstddef>
#include <span>

namespace chervil::balance {

/// A server that may be chosen.
struct Candidate {
  /// Expected wait before the server begins with the request; see forecastWait().
  double Wait = 0;
  /// Expected time for the request itself, and the price of a server without its prefix.
  double Cost = 0;
  /// See SpeedEstimate::Factor.
  double SpeedFactor = 1;
  /// The server caches the prefix of the request, or is one of those that should; see
  /// homeDiscount().
  bool IsHome = false;
};

/// Servers, by their rank for a prefix, that are preferred to others that do not cache it. All
/// nodes rank alike, so that a prefix that is too hot for one server gets the same second and third
/// everywhere, before the first is full.
inline constexpr std::size_t HomesPerPrefix = 3;

/// Returns the part of the price of a server without the prefix that the server with this rank is
/// spared; rank 0 is the highest. Without requests of other nodes only that one is preferred.
double homeDiscount(std::size_t rank, const Outlook &outlook);

/// Returns the wait up to which `volume` tokens raise the candidates with the shortest waits, if
/// each takes them in proportion to its speed.
double fillLevel(std::span<const Candidate> candidates, double volume);

/// Chooses a candidate; there must be at least one. Without requests of other nodes since their
/// reports, it is the first with the lowest sum of wait and cost.
std::size_t chooseCandidate(std::span<const Candidate> candidates, const Outlook &outlook,
                            Random &rng);

} // namespace chervil::balance

#endif
