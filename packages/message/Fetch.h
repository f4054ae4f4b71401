// From a reader to the owner: requests the answer from an offset on, including the parts that
// arrive later. Answered by Chunk and End.
#ifndef CHERVIL_MESSAGE_FETCH_H
#define CHERVIL_MESSAGE_FETCH_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct Fetch {
  RequestKey Key;
  /// First byte of the answer to send.
  std::uint64_t Offset = 0;
  /// Number chosen by the reader; unique within the incarnation of its node.
  std::uint64_t Reader = 0;
  /// True to cancel the earlier Fetch with this reader number.
  bool Cancel = false;
};

} // namespace chervil::message

#endif
