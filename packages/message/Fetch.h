// Reader to owner: send the answer from an offset, and what follows as it arrives.
#ifndef CHERVIL_MESSAGE_FETCH_H
#define CHERVIL_MESSAGE_FETCH_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct Fetch {
  RequestKey Key;
  std::uint64_t Offset = 0;
  /// Chosen by the reader, unique within its incarnation.
  std::uint64_t Reader = 0;
  /// True to stop an earlier Fetch with this reader number.
  bool Cancel = false;
};

} // namespace chervil::message

#endif
