// Registration of a backend server.
#ifndef CHERVIL_RELAY_BACKENDENTRY_H
#define CHERVIL_RELAY_BACKENDENTRY_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chervil::relay {

/// One entry of the list of backend servers.
struct BackendEntry {
  /// Identifies one start of the server, unless it restarts under the same id.
  std::string Id;
  std::string Service;
  /// "ip:port". Another server may have the address later.
  std::string Address;
  std::string DataCentre;
  /// Requests that the server runs concurrently.
  unsigned Slots = 1;
  /// The server accepts no new requests.
  bool Draining = false;
  /// The server belongs to the reclaimable capacity.
  bool Reclaimable = false;
  /// Time until a reclaimed server stops; empty if it was not reclaimed.
  std::optional<std::chrono::milliseconds> Leaves;
  /// Remaining time in which it is slow after its start.
  std::chrono::milliseconds WarmUpTime{0};
  /// Unix time of its start in ms; 0 if unknown. Distinguishes two starts under one id.
  std::uint64_t Born = 0;

  /// Version of its software; empty if it states none.
  std::string Version;

  /// A peer's reading lacks the entry, which may return: the store is back after an outage.
  bool Missing = false;

  auto operator<=>(const BackendEntry &) const = default; // NOLINT(modernize-use-nullptr)
};

} // namespace chervil::relay

#endif
