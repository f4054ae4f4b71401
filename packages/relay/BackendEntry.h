// A backend server as it registered itself.
#ifndef CHERVIL_RELAY_BACKENDENTRY_H
#define CHERVIL_RELAY_BACKENDENTRY_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chervil::relay {

struct BackendEntry {
  /// Identity of one start of the server, unless it starts again under the same one.
  std::string Id;
  std::string Service;
  /// "ip:port"; may belong to another server later.
  std::string Address;
  std::string DataCentre;
  unsigned Slots = 1;
  bool Draining = false;
  /// Part of the reclaimable capacity.
  bool Reclaimable = false;
  /// Time until a reclaimed server ends.
  std::optional<std::chrono::milliseconds> Leaves;
  /// How much longer it stays slow after its start.
  std::chrono::milliseconds WarmUpTime{0};
  /// Unix time of its start in ms; 0 if unknown. Tells two starts under one id apart.
  std::uint64_t Born = 0;

  auto operator<=>(const BackendEntry &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace chervil::relay

#endif
