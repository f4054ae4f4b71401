// From a gateway to the owner, or to the standby if the owner is unreachable: marks an attempt as
// one that must never run.
#ifndef CHERVIL_MESSAGE_CLOSE_H
#define CHERVIL_MESSAGE_CLOSE_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct Close {
  RequestKey Key;
  std::uint64_t BodyHash = 0;
  std::uint32_t Attempt = 1;
  /// Run number if the sender holds the grant and knows that no request was sent to a back end;
  /// otherwise 0.
  std::uint32_t Run = 0;
};

} // namespace chervil::message

#endif
