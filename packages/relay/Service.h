// One service: a set of backend servers that do the same work.
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
  /// Requests that an engine runs at once.
  unsigned Slots = 1;
  /// Tokens that the memory of an engine holds.
  std::uint64_t MemoryTokens = 0;
  std::uint64_t BytesPerToken = 0;
  /// Tokens in one event of a stream.
  unsigned TokensPerEvent = 1;
  /// Running requests can be moved to another engine with their memory.
  bool CanMove = false;
  bool CanBackUp = false;
};

/// How many backend servers may be ordered, per data centre.
struct ScalingPolicy {
  unsigned Min = 0;
  unsigned Max = 0;
  std::chrono::milliseconds BootTime{0};
  /// Price of a reclaimable server as a part of the price of any other; 0 if there are none.
  double ReclaimablePrice = 0;
  /// Price of a server by data centre.
  std::map<std::string, double> Prices;
};

struct Service {
  std::string Name;
  std::string HealthPath;
  /// Connections that a backend server accepts from all nodes together; 0 for no bound.
  unsigned MaxConnections = 0;
  std::optional<ModelProperties> Model;
  std::optional<ScalingPolicy> Scaling;
};

} // namespace chervil::relay

#endif
