// Sent to the other nodes that use the same backend servers: the load that the sender itself puts
// on each of them.
#ifndef CHERVIL_MESSAGE_BACKENDLOADS_H
#define CHERVIL_MESSAGE_BACKENDLOADS_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Load that the sender puts on one server.
struct BackendLoad {
  std::string Backend;
  /// Prompt tokens of requests for which no byte of the answer has arrived.
  std::uint32_t PendingTokens = 0;
  /// Requests for which part of the answer has arrived.
  std::uint32_t Running = 0;
  /// The sender's evidence of the server's speed; see balance::EncodedSpeed.
  std::uint8_t SpeedFactor = 0;
  std::uint8_t SpeedWeight = 0;
};

/// Demand of the sender's callers for a service, in prompt tokens per second.
struct ServiceDemand {
  std::string Service;
  std::uint32_t TokensPerSecond = 0;
};

/// Lists every server on which the sender has requests; a server that is missing has none.
struct BackendLoads {
  std::vector<BackendLoad> Loads;
  std::vector<ServiceDemand> Demands;
};

} // namespace chervil::message

#endif
