// A back end as the VM list and the settings describe it. Use:
//   Backend b;
//   b.Name = "e1";
//   b.Targets = {"redactor"};
#ifndef CHERVIL_ROUTING_BACKEND_H
#define CHERVIL_ROUTING_BACKEND_H

#include "base/Time.h"
#include "message/RequestSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::routing {

enum class BackendState : std::uint8_t {
  Live,
  /// Gets no new work; the VM ends at the deadline.
  Leaving,
  Dead,
};

struct Backend {
  std::string Name;
  /// host:port.
  std::string Address;
  message::WorkKind Kind = message::WorkKind::Model;
  /// Models or services it serves.
  std::vector<std::string> Targets;
  std::string Zone;
  std::string DataCentre;
  std::string MachineClass;
  /// Price per hour in the contract's currency.
  double Price = 0;
  /// Requests the engine runs at once.
  std::uint32_t Slots = 16;
  /// True if the engine rejects orders with an old fencing number.
  bool FencingChecked = true;
  /// Share of normal load while the engine warms up, in (0, 1]; set by `fleet`.
  double WarmUp = 1;
  BackendState State = BackendState::Live;
  /// End of a leaving VM; meaningless otherwise.
  TimePoint Deadline{};
};

} // namespace chervil::routing

#endif
