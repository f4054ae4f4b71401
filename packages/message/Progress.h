// From the executor to the owner, and from the owner to the standby: part of the answer.
#ifndef CHERVIL_MESSAGE_PROGRESS_H
#define CHERVIL_MESSAGE_PROGRESS_H

#include "base/RequestKey.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct Progress {
  RequestKey Key;
  std::uint32_t Run = 0;
  /// Position of Bytes in the answer.
  std::uint64_t Offset = 0;
  std::string Bytes;
  /// Total number of tokens generated so far.
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
