// The backend servers as the sender last read them from the platform's store.
#ifndef CHERVIL_MESSAGE_BACKENDLISTCOPY_H
#define CHERVIL_MESSAGE_BACKENDLISTCOPY_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct BackendCopy {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string DataCentre;
  std::uint32_t Slots = 1;
  bool Draining = false;
  bool Reclaimable = false;
  /// Time until a reclaimed server ends; 0 if unknown.
  std::chrono::milliseconds Leaves{0};
  std::uint64_t Born = 0;
  /// The sender was told that it leaves, although the list did not say so yet.
  bool Leaving = false;
};

struct BackendListCopy {
  std::uint64_t Revision = 0;
  std::vector<BackendCopy> Backends;
};

} // namespace chervil::message

#endif
