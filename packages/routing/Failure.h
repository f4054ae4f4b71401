// How a request on a back end ended without an answer.
#ifndef CHERVIL_ROUTING_FAILURE_H
#define CHERVIL_ROUTING_FAILURE_H

#include <cstdint>

namespace chervil::routing {

enum class Failure : std::uint8_t {
  /// The connection was refused or timed out; no byte was sent.
  Connect,
  /// The connection ended while the request ran.
  Died,
  Timeout,
  /// The back end refused the request; says nothing about its health.
  Refused,
  /// This node cancelled it: the caller left, a hedge won, or the request moved.
  Cancelled,
};

} // namespace chervil::routing

#endif
