// Simulates several nodes and model engines in one process. For tests only. Use:
//   SimulationResult r = simulate(setup, arrivals);
#ifndef CHERVIL_ROUTING_FLEETSIMULATION_H
#define CHERVIL_ROUTING_FLEETSIMULATION_H

#include "routing/Options.h"
#include "routing/WorkRequest.h"
#include "testing/EngineModel.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::routing {

enum class Policy : std::uint8_t {
  /// choose(), and hedge() if enabled.
  Routing,
  /// The engine with the fewest requests in its last report; ties are broken at random.
  LeastReported,
  /// Engines in turn, without priorities.
  RoundRobin,
  /// choose() with the actual content of every cache; an upper bound for prefix hits.
  KnownCaches,
};

/// A request of the workload.
struct Arrival {
  /// Time since the start of the simulation.
  Duration At{0};
  /// Node that receives the request.
  std::uint32_t Node = 0;
  /// Tokens that the request generates.
  std::uint32_t OutputTokens = 1;
  WorkRequest Work;
};

/// A period in which an engine takes `Factor` times the normal time per step.
struct Slowdown {
  std::uint32_t Engine = 0;
  Duration From{0};
  Duration Until{0};
  double Factor = 5;
};

struct SimulationSetup {
  std::uint32_t Nodes = 7;
  std::uint32_t Engines = 12;
  /// Properties of every engine.
  testing::EngineSpec Spec;
  Policy Choice = Policy::Routing;
  /// Options of every node; their Node is set by the simulation.
  routing::Options Options;
  std::vector<Slowdown> Slowdowns;
  /// Whether hedges are started with the policies that use choose().
  bool Hedging = true;
  std::uint64_t Seed = 1;
};

/// Times of a finished request, since its arrival.
struct FinishedRequest {
  const Arrival *Request = nullptr;
  Duration FirstToken{0};
  Duration Completion{0};
  std::uint32_t CachedTokens = 0;
  std::uint32_t Backend = 0;
};

struct SimulationResult {
  std::vector<FinishedRequest> Requests;
  /// Output and prompt tokens of all arrivals.
  std::uint64_t Tokens = 0;
  std::uint64_t PromptTokens = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t HedgesOfNonRepeatable = 0;
  /// Tokens generated and prompt tokens read by all engines, hedges included.
  std::uint64_t EngineTokens = 0;
  std::uint64_t EnginePromptTokens = 0;
  /// Simulated time.
  double Seconds = 0;
};

/// Runs until all requests have finished or `limit` has passed in simulated time. `arrivals` is
/// sorted by time and outlives the result, which points into it.
SimulationResult simulate(const SimulationSetup &setup, const std::vector<Arrival> &arrivals,
                          Duration limit = std::chrono::seconds(900));

/// Returns the q-quantile of the values by the nearest-rank method, or 0 if there are none.
double quantile(std::vector<double> values, double q);

} // namespace chervil::routing

#endif
