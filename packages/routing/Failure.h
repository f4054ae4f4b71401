// Why a request on a back end ended without an answer.
#ifndef CHERVIL_ROUTING_FAILURE_H
#define CHERVIL_ROUTING_FAILURE_H

#include <cstdint>

namespace chervil::routing {

enum class Failure : std::uint8_t {
  /// The connection was refused or timed out; no byte was sent.
  Connect,
  /// The connection ended while the request ran.
  Died,
  /// No answer in time.
  Timeout,
  /// The back end refused the request. Does not count against its health.
  Refused,
  /// Cancelled by this node: the caller disconnected, a hedge was faster, or the request was moved.
  Cancelled,
};

} // namespace chervil::routing

#endif
