// Executor to owner (and owner to standby): part of the answer.
#ifndef CHERVIL_MESSAGE_PROGRESS_H
#define CHERVIL_MESSAGE_PROGRESS_H

#include "base/RequestKey.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct Progress {
  RequestKey Key;
  std::uint32_t Run = 0;
  std::uint64_t Offset = 0;
  std::string Bytes;
  /// Tokens generated so far in all.
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
