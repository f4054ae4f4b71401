// Answer to BackendListRequest: the list of backend servers that the sender last read from the
// platform's store.
#ifndef CHERVIL_MESSAGE_BACKENDLISTCOPY_H
#define CHERVIL_MESSAGE_BACKENDLISTCOPY_H

#include "message/BackendDeparture.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// One backend server of the list.
struct BackendCopy {
  std::string Id;
  std::string Service;
  /// "ip:port".
  std::string Address;
  std::string DataCentre;
  /// Number of requests that the server runs at the same time.
  std::uint32_t Slots = 1;
  /// True if no new requests are to be sent to the server.
  bool Draining = false;
  /// True if the server is part of the reclaimable capacity.
  bool Reclaimable = false;
  /// Time until a reclaimed server stops; 0 if unknown.
  std::chrono::milliseconds Leaves{0};
  /// Unix time of the server's start in ms; 0 if unknown. Tells a restarted server from the earlier
  /// one with the same identifier.
  std::uint64_t Born = 0;
  /// True if the sender's reading lacks the entry, which may return: the store is back after an
  /// outage.
  bool Missing = false;
  /// Version of the server's software; empty if it states none.
  std::string Version;
};

struct BackendListCopy {
  /// Revision of the store when the list was read.
  std::uint64_t Revision = 0;
  std::vector<BackendCopy> Backends;
  /// Era of the store when the list was read; see store::Position.
  std::uint64_t Era = 0;
  /// Departures of the listed servers that the sender knows of.
  std::vector<BackendDeparture> Departures;
  /// Remaining time in which the sender takes no server for gone because its entry is missing: the
  /// store is back after an outage. 0 if it does.
  std::chrono::milliseconds KeepMissing{0};
};

} // namespace chervil::message

#endif
