// Spread among nodes that use the same backend servers: the sender's own work on each of them.
#ifndef CHERVIL_MESSAGE_BACKENDLOADS_H
#define CHERVIL_MESSAGE_BACKENDLOADS_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct BackendLoad {
  std::string Backend;
  /// Prompt tokens of requests whose first byte has not arrived.
  std::uint32_t PendingTokens = 0;
  /// Requests whose answer is under way.
  std::uint32_t Running = 0;
};

/// Prompt tokens per second that the sender's callers ask of a service.
struct ServiceDemand {
  std::string Service;
  std::uint32_t TokensPerSecond = 0;
};

/// All servers on which the sender has work; others have none.
struct BackendLoads {
  std::vector<BackendLoad> Loads;
  std::vector<ServiceDemand> Demands;
};

} // namespace chervil::message

#endif
