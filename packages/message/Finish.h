// From the executor to the owner, and from the owner to the standby: the request has ended.
#ifndef CHERVIL_MESSAGE_FINISH_H
#define CHERVIL_MESSAGE_FINISH_H

#include "base/RequestKey.h"
#include "base/ResultCode.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct Finish {
  RequestKey Key;
  std::uint32_t Run = 0;
  ResultCode Code = ResultCode::Ok;
  /// HTTP status of the answer.
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Size of the complete answer in bytes. A receiver that has fewer bytes does not treat its copy
  /// as complete.
  std::uint64_t TotalSize = 0;
  /// Number of tokens generated.
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
