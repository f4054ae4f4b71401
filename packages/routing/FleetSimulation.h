// Several nodes in front of model engines in one process, for tests only. Use:
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
  /// choose() and hedge().
  Routing,
  /// The engine with the least requests by the last report.
  LeastReported,
  /// Engines in turn, without priorities.
  RoundRobin,
  /// choose() with the true content of every cache.
  KnownCaches,
};

struct Arrival {
  Duration At{0};
  std::uint32_t Node = 0;
  std::uint32_t OutputTokens = 1;
  WorkRequest Work;
};

struct Slowdown {
  std::uint32_t Engine = 0;
  Duration From{0};
  Duration Until{0};
  double Factor = 5;
};

struct SimulationSetup {
  std::uint32_t Nodes = 7;
  std::uint32_t Engines = 12;
  testing::EngineSpec Spec;
  Policy Choice = Policy::Routing;
  routing::Options Options;
  std::vector<Slowdown> Slowdowns;
  bool Hedging = true;
  std::uint64_t Seed = 1;
};

struct FinishedRequest {
  const Arrival *Request = nullptr;
  Duration FirstToken{0};
  Duration Completion{0};
  std::uint32_t CachedTokens = 0;
  std::uint32_t Backend = 0;
};

struct SimulationResult {
  std::vector<FinishedRequest> Requests;
  std::uint64_t Tokens = 0;
  std::uint64_t PromptTokens = 0;
  std::uint32_t Hedges = 0;
  std::uint32_t HedgesOfNonRepeatable = 0;
  /// Tokens generated and prompt tokens read by all engines.
  std::uint64_t EngineTokens = 0;
  std::uint64_t EnginePromptTokens = 0;
  double Seconds = 0;
};

/// Runs until all requests have finished or `limit` has passed.
SimulationResult simulate(const SimulationSetup &setup, const std::vector<Arrival> &arrivals,
                          Duration limit = std::chrono::seconds(900));

/// Value below which the share `q` of the values lies.
double quantile(std::vector<double> values, double q);

} // namespace chervil::routing

#endif
