// Owner to reader: the answer is whole (Ok) or will not come (any other code).
#ifndef CHERVIL_MESSAGE_END_H
#define CHERVIL_MESSAGE_END_H

#include "base/ResultCode.h"

#include <cstdint>
#include <string>

namespace chervil::message {

struct End {
  std::uint64_t Reader = 0;
  ResultCode Code = ResultCode::Ok;
  std::uint16_t Status = 0;
  std::string ContentType;
  std::uint64_t TotalSize = 0;
  std::uint32_t Tokens = 0;
};

} // namespace chervil::message

#endif
