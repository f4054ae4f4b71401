// A reason for sending no new requests to one start of a backend server. Distributed to all nodes
// by gossip, and sent with the list of backend servers.
#ifndef CHERVIL_MESSAGE_BACKENDDEPARTURE_H
#define CHERVIL_MESSAGE_BACKENDDEPARTURE_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::message {

enum class DepartureKind : std::uint8_t {
  /// A reading of the store does not list its entry. Ends when a later reading lists it.
  Lapsed,
  /// Its entry is draining. Ends with another start.
  Draining,
  /// The server said in an answer that it leaves. Ends with another start.
  Announced,
};

struct BackendDeparture {
  std::string Backend;
  /// Unix time in ms of the start that the fact is about; 0 if unknown.
  std::uint64_t Born = 0;
  DepartureKind Kind = DepartureKind::Lapsed;
  /// Name of the node that learned the fact from the store or from the server.
  std::string Source;
  /// Time since the source learned it.
  std::chrono::milliseconds Age{0};
  /// Position of the list that the source had in use; for Lapsed, of the reading that lacks the
  /// entry.
  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
};

} // namespace chervil::message

#endif
