// Head of a backend server's answer, as far as decisions need it.
#ifndef CHERVIL_RELAY_BACKENDHEAD_H
#define CHERVIL_RELAY_BACKENDHEAD_H

#include <cstdint>

namespace chervil::relay {

struct BackendHead {
  int Status = 0;
  /// It carries the server's mark of an answer of its own.
  bool IsGenuine = false;
  /// The server states that it did not run the request.
  bool NotRun = false;
  /// Another server has the address.
  bool WrongServer = false;
};

enum class BackendEnd : std::uint8_t {
  /// The answer is complete.
  Complete,
  /// No byte of the request was sent.
  NotSent,
  /// The answer broke off, or never came.
  Broken,
};

} // namespace chervil::relay

#endif
