// A service: a set of interchangeable backend servers.
#ifndef CHERVIL_RELAY_SERVICE_H
#define CHERVIL_RELAY_SERVICE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chervil::relay {

/// Properties of the model engines of a service.
struct ModelProperties {
  /// Requests that an engine runs concurrently.
  unsigned Slots = 1;
  /// Tokens that the KV cache of an engine holds.
  std::uint64_t MemoryTokens = 0;
  std::uint64_t BytesPerToken = 0;
  /// Tokens per event of a stream.
  unsigned TokensPerEvent = 1;
  /// Running requests can be moved to another engine together with their KV cache.
  bool CanMove = false;
  /// The configuration allows backups (key "backups").
  bool CanBackUp = false;
};

/// Limits and prices for ordering backend servers, per data centre.
struct ScalingPolicy {
  unsigned Min = 0;
  unsigned Max = 0;
  /// Time that a server takes to start.
  std::chrono::milliseconds BootTime{0};
  /// Price of a reclaimable server as a fraction of that of an on-demand server; 0 if there are
  /// none.
  double ReclaimablePrice = 0;
  /// Price of a server by data centre.
  std::map<std::string, double> Prices;
};

struct Service {
  std::string Name;
  std::string HealthPath;
  /// Connections that a backend server accepts from all nodes together; 0 for no limit.
  unsigned MaxConnections = 0;
  /// Only for model services.
  std::optional<ModelProperties> Model;
  /// Empty if no servers are ordered for the service.
  std::optional<ScalingPolicy> Scaling;
};

} // namespace chervil::relay

#endif
