// A back end as described by the VM list and the settings. Use:
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
  /// Gets no new work; its VM is shut down at the deadline.
  Leaving,
  Dead,
};

struct Backend {
  std::string Name;
  /// host:port.
  std::string Address;
  message::WorkKind Kind = message::WorkKind::Model;
  /// Names of the models or services that it serves.
  std::vector<std::string> Targets;
  std::string Zone;
  std::string DataCentre;
  std::string MachineClass;
  /// Price per hour, in the currency of the contract.
  double Price = 0;
  /// Number of requests that the engine runs at once.
  std::uint32_t Slots = 16;
  /// True if the engine rejects orders with an outdated fencing number.
  bool FencingChecked = true;
  /// Share of the normal load that the engine gets, in (0, 1]; below 1 while it warms up. Set by
  /// `fleet`.
  double WarmUp = 1;
  BackendState State = BackendState::Live;
  /// When the VM of a Leaving back end is shut down; not used in other states.
  TimePoint Deadline{};
};

} // namespace chervil::routing

#endif
