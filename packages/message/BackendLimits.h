// Distributed to all nodes by gossip: limits that backend servers have set on the requests of all
// nodes together, and limits that have ended.
#ifndef CHERVIL_MESSAGE_BACKENDLIMITS_H
#define CHERVIL_MESSAGE_BACKENDLIMITS_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct BackendLimit {
  std::string Backend;
  /// Unix time in ms of the start of the server that stated the limit; 0 if unknown.
  std::uint64_t Born = 0;
  /// False if the server no longer states a limit.
  bool Limited = false;
  /// Requests per second. Only if limited.
  double PerSecond = 0;
  /// Age of the statement.
  std::chrono::milliseconds Age{0};
};

struct BackendLimits {
  std::vector<BackendLimit> Limits;
};

} // namespace chervil::message

#endif
