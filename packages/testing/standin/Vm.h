// A VM as the VM list and the cloud API show it.
#ifndef CHERVIL_TESTING_STANDIN_VM_H
#define CHERVIL_TESTING_STANDIN_VM_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::standin {

enum class VmState : std::uint8_t { Live, Leaving, Gone };

struct Vm {
  std::string Id;
  /// ip:port
  std::string Address;
  /// node, model or service
  std::string Role;
  std::vector<std::string> Target;
  std::string Region;
  std::string DataCentre;
  std::string Zone;
  std::string Class;
  bool Reclaimable = false;
  double PricePerHour = 0;
  unsigned Slots = 0;
  bool ChecksFencing = false;
  VmState State = VmState::Live;
  /// Wall-clock milliseconds; 0 while live.
  std::int64_t LeaveByMs = 0;
};

} // namespace chervil::standin

#endif
