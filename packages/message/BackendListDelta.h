// Spread by a node that has read the backend servers from the platform's store, so that the others
// need not read them, too.
#ifndef CHERVIL_MESSAGE_BACKENDLISTDELTA_H
#define CHERVIL_MESSAGE_BACKENDLISTDELTA_H

#include "message/BackendListCopy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct BackendListDelta {
  /// Revision of the store at the reading.
  std::uint64_t Revision = 0;
  /// Digests of the sender's list before and after the reading; equal when nothing changed.
  std::uint64_t Before = 0;
  std::uint64_t After = 0;
  /// What leads from one to the other.
  std::vector<BackendCopy> Changed;
  std::vector<std::string> Removed;
};

} // namespace chervil::message

#endif
