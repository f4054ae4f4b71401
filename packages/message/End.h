// From the owner to a reader: the answer is complete (Ok) or cannot be completed (any other code).
#ifndef CHERVIL_MESSAGE_END_H
#define CHERVIL_MESSAGE_END_H

#include "base/ResultCode.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct End {
  /// Reader number of the Fetch.
  std::uint64_t Reader = 0;
  ResultCode Code = ResultCode::Ok;
  /// HTTP status of the answer.
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Size of the complete answer in bytes.
  std::uint64_t TotalSize = 0;
  /// Number of tokens generated.
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
