// A route: which requests go to which services, and how they are handled.
#ifndef CHERVIL_RELAY_ROUTE_H
#define CHERVIL_RELAY_ROUTE_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::relay {

/// How often a request may run, and how it is answered.
enum class RouteKind : std::uint8_t {
  /// Requests may run more than once.
  Idempotent,
  /// Requests run at most once.
  NonIdempotent,
  /// Answered by a stream of events. Requests run at most once unless the route is resumable.
  Stream,
};

/// A service that receives a share of the requests of a route in proportion to its weight.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

/// Requests whose host and path match, in the configuration of the operators.
struct Route {
  std::string Name;
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  RouteKind Kind = RouteKind::NonIdempotent;
  /// Time after which a request without a complete answer is given up.
  std::chrono::milliseconds Timeout{10000};
  /// Target for the time to the answer, or to the first event of a stream.
  std::chrono::milliseconds Target{1000};
  /// Target for the longest gap between two events.
  std::chrono::milliseconds GapTarget{400};
  /// Scheduling priority; 0 is the highest.
  int Priority = 5;
  std::vector<WeightedService> Services;
  /// Maximum number of backend servers on which a request may run.
  unsigned MaxAttempts = 1;
  /// Requests need no workspace key.
  bool Anonymous = false;
  /// A stream may be continued by another backend server after its last event.
  bool Resumable = false;
  /// Requests share prompt prefixes.
  bool SharesPrompts = false;
};

/// Returns true if a request of the route may run more than once.
inline bool isIdempotent(const Route &route) {
  return route.Kind == RouteKind::Idempotent ||
         (route.Kind == RouteKind::Stream && route.Resumable);
}

} // namespace chervil::relay

#endif
