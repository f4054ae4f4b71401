// Asks a peer for its list of backend servers. Sent by a node that cannot reach the platform's
// store; answered by BackendListCopy.
#ifndef CHERVIL_MESSAGE_BACKENDLISTREQUEST_H
#define CHERVIL_MESSAGE_BACKENDLISTREQUEST_H

#include <cstdint>

namespace chervil::message {

struct BackendListRequest {
  /// Revision of the list that the sender already has.
  std::uint64_t Revision = 0;
  /// Era of that list; see store::Position.
  std::uint64_t Era = 0;
};

} // namespace chervil::message

#endif
