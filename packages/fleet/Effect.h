// Actions for the holder of the fleet duty (duty/fleet) to carry out; returned by tick().
#ifndef CHERVIL_FLEET_EFFECT_H
#define CHERVIL_FLEET_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>

namespace chervil::fleet {

/// Request one VM from the cloud API.
struct RequestVm {
  /// Identifies the request in onVmGranted() and onVmRefused(); never reused.
  std::uint64_t RequestId = 0;
  std::string Zone;
  std::string MachineClass;
  bool Reclaimable = true;
};

/// Release a VM. No new work may be started on it from now on.
struct ReleaseVm {
  std::string Vm;
};

/// Order an engine to load a model. Repeated with the same id until it is acknowledged.
struct LoadModel {
  std::string OrderId;
  std::string Vm;
  std::string Model;
  /// Fencing token of the lease duty/fleet; never lower than one sent before.
  std::uint64_t FencingToken = 0;
};

using Effect = std::variant<RequestVm, ReleaseVm, LoadModel>;

} // namespace chervil::fleet

#endif
