// One route: which requests go to which services, and how they are treated.
#ifndef CHERVIL_RELAY_ROUTE_H
#define CHERVIL_RELAY_ROUTE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::relay {

enum class RouteKind : std::uint8_t {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// Answered by a stream of events; runs at most once unless the route is resumable.
  Stream,
};

struct WeightedService {
  std::string Service;
  double Weight = 1;
};

struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  /// Longest time for which a request may wait for its final answer.
  std::chrono::milliseconds Timeout{10000};
  /// Time to the answer, or to the first event, that is aimed at.
  std::chrono::milliseconds Target{1000};
  /// Longest pause between two events that is aimed at.
  std::chrono::milliseconds GapTarget{400};
  /// Rank, 0 is first.
  int Priority = 5;
  std::vector<WeightedService> Services;
  /// Backend servers on which one request may run.
  unsigned MaxAttempts = 1;
  /// Needs no workspace.
  bool Anonymous = false;
  /// A stream may be continued by another backend server after its last event.
  bool Resumable = false;
  /// Requests share parts of their prompts.
  bool SharesPrompts = false;
};

/// True if a request of the route may run more than once.
inline bool isIdempotent(const Route &route) {
  return route.Kind == RouteKind::Idempotent ||
         (route.Kind == RouteKind::Stream && route.Resumable);
}

} // namespace chervil::relay

#endif
