// VMs and offers as the cloud API and the VM list describe them.
#ifndef CHERVIL_FLEET_VM_H
#define CHERVIL_FLEET_VM_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace chervil::fleet {

struct Vm {
  std::string Name;
  std::string Zone;
  std::string MachineClass;
  bool Reclaimable = true;
  /// True if its engine rejects orders with an old fencing number.
  bool ChecksFencingToken = true;
  bool Leaving = false;
  /// Model the engine reports as loaded; empty while none is.
  std::string Model;
};

/// Price per hour of one kind of VM; replaced as prices change.
struct Offer {
  std::string Zone;
  std::string MachineClass;
  bool Reclaimable = true;
  double Price = 0;
};

/// What one model needs.
struct Demand {
  std::string Model;
  /// Slots in use and waited for.
  double Slots = 0;
  /// Size of the weights.
  double WeightBytes = 0;
};

} // namespace chervil::fleet

#endif
