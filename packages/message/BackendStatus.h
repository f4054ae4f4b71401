// Sent to the other nodes of the data centre: observed speed of a back end, and whether it is
// leaving.
#ifndef CHERVIL_MESSAGE_BACKENDSTATUS_H
#define CHERVIL_MESSAGE_BACKENDSTATUS_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct BackendStatus {
  std::string Backend;
  /// Sequence number for this back end; routing ignores a status that is not newer.
  std::uint64_t Seq = 0;
  /// Observed time per token divided by the normal time; 1 is normal. Finite.
  double SlowFactor = 1;
  /// True when the back end is known to be leaving.
  bool Leaving = false;
  /// Unix time in ms of the start of the back end to which the status applies; 0 if unknown.
  std::uint64_t Born = 0;
};

} // namespace chervil::message

#endif
