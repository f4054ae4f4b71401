// From a node that cannot reach the platform's store: asks a peer for the backend servers.
#ifndef CHERVIL_MESSAGE_BACKENDLISTREQUEST_H
#define CHERVIL_MESSAGE_BACKENDLISTREQUEST_H

#include <cstdint>

namespace chervil::message {

struct BackendListRequest {
  /// Revision of the list the sender has.
  std::uint64_t Revision = 0;
};

} // namespace chervil::message

#endif
