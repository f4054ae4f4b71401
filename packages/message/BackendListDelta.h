// Changes of the list of backend servers. A node that has read the list from the platform's store
// sends them to the others, so that these need not read it as well.
#ifndef CHERVIL_MESSAGE_BACKENDLISTDELTA_H
#define CHERVIL_MESSAGE_BACKENDLISTDELTA_H

#include "message/BackendListCopy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct BackendListDelta {
  /// Revision of the store when the list was read.
  std::uint64_t Revision = 0;
  /// Digests of the sender's list before and after the read; equal if nothing changed.
  std::uint64_t Before = 0;
  std::uint64_t After = 0;
  /// Servers that were added or changed.
  std::vector<BackendCopy> Changed;
  /// Identifiers of the servers that were removed.
  std::vector<std::string> Removed;
  /// Era of the store when the list was read; see store::Position.
  std::uint64_t Era = 0;
  /// Departures of the changed servers that the sender knows of.
  std::vector<BackendDeparture> Departures;
};

} // namespace chervil::message

#endif
