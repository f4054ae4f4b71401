// What the holder of duty/fleet is to do next; returned by tick().
#ifndef CHERVIL_FLEET_EFFECT_H
#define CHERVIL_FLEET_EFFECT_H

#include <cstdint>
#include <string>
#include <variant>

namespace chervil::fleet {

/// Ask the cloud API for one VM.
struct RequestVm {
  /// Names the request in the answer; used once.
  std::uint64_t RequestId = 0;
  std::string Zone;
  std::string MachineClass;
  bool Reclaimable = true;
};

/// Give a VM back. It must run nothing new from now on.
struct ReleaseVm {
  std::string Vm;
};

/// Order an engine to load a model. Sent again with the same id until acknowledged.
struct LoadModel {
  std::string OrderId;
  std::string Vm;
  std::string Model;
  /// Number of the lease duty/fleet; never lower than one sent before.
  std::uint64_t FencingToken = 0;
};

using Effect = std::variant<RequestVm, ReleaseVm, LoadModel>;

} // namespace chervil::fleet

#endif
