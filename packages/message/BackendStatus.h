// Spread within a data centre: observed speed of a back end.
#ifndef CHERVIL_MESSAGE_BACKENDSTATUS_H
#define CHERVIL_MESSAGE_BACKENDSTATUS_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct BackendStatus {
  std::string Backend;
  std::uint64_t Seq = 0;
  /// Observed time per token over the normal time; 1 is normal.
  double SlowFactor = 1;
  /// True when the back end is known to be leaving.
  bool Leaving = false;
  /// The start of the back end that the news concerns; 0 if unknown.
  std::uint64_t Born = 0;
};

} // namespace chervil::message

#endif
