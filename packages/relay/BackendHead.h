// The properties of a response head of a backend server that request handling depends on.
#ifndef CHERVIL_RELAY_BACKENDHEAD_H
#define CHERVIL_RELAY_BACKENDHEAD_H

#include "relay/RequestLimit.h"

#include <chrono>
#include <cstdint>

namespace chervil::relay {

struct BackendHead {
  int Status = 0;
  /// The head carries the marks of an answer of the server itself. Other answers from its address
  /// are not forwarded.
  bool IsGenuine = false;
  /// The server declares that it did not run the request.
  bool NotRun = false;
  /// The address now belongs to another server.
  bool WrongServer = false;
  StatedLimit Limit;
  /// The server says that it is leaving.
  bool Leaving = false;
  /// How long the server wants no requests from this node; 0 if it does not say so.
  std::chrono::milliseconds NothingFor{0};
};

/// How a call to a backend server ended.
enum class BackendEnd : std::uint8_t {
  /// The answer is complete.
  Complete,
  /// The answer has no length, and the server closed the connection in an orderly way.
  Closed,
  /// No byte of the request was sent.
  NotSent,
  /// The answer was cut off or did not arrive.
  Broken,
  /// The same, inside the head of the answer: the server had begun to write it.
  BrokenInHead,
  /// The server sent more than an answer can hold, or bytes that are no answer. The call was ended.
  Excessive,
};

} // namespace chervil::relay

#endif
