// Gateway to owner, or to the standby when the owner is out of reach: this attempt must never run.
#ifndef CHERVIL_MESSAGE_CLOSE_H
#define CHERVIL_MESSAGE_CLOSE_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct Close {
  RequestKey Key;
  std::uint64_t BodyHash = 0;
  std::uint32_t Attempt = 1;
  /// Run number when the sender holds the grant and knows that nothing was sent; 0 otherwise.
  std::uint32_t Run = 0;
};

} // namespace chervil::message

#endif
