// Executor to owner (and owner to standby): the request has ended.
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
  std::uint16_t Status = 0;
  std::string ContentType;
  /// Size of the whole answer; a receiver that holds fewer bytes does not treat it as whole.
  std::uint64_t TotalSize = 0;
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
