// VMs and offers as described by the cloud API and the VM list, and the demand for models.
#ifndef CHERVIL_FLEET_VM_H
#define CHERVIL_FLEET_VM_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace chervil::fleet {

/// A VM with one engine.
struct Vm {
  std::string Name;
  std::string Zone;
  std::string MachineClass;
  bool Reclaimable = true;
  /// True if its engine rejects orders with an old fencing token.
  bool ChecksFencingToken = true;
  /// The VM is being shut down or reclaimed.
  bool Leaving = false;
  /// Model that the engine reports as loaded; empty if none.
  std::string Model;
};

/// Current price of one kind of VM.
struct Offer {
  std::string Zone;
  std::string MachineClass;
  bool Reclaimable = true;
  /// Per hour.
  double Price = 0;
};

/// Demand for one model.
struct Demand {
  std::string Model;
  /// Slots in use plus slots that requests wait for.
  double Slots = 0;
  /// Size of the model weights in bytes.
  double WeightBytes = 0;
};

} // namespace chervil::fleet

#endif
