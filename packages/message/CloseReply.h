// Answer to Close. Code is Ok if the attempt is closed; otherwise it describes what is known of
// the request.
#ifndef CHERVIL_MESSAGE_CLOSEREPLY_H
#define CHERVIL_MESSAGE_CLOSEREPLY_H

#include "base/RequestKey.h"
#include "base/ResultCode.h"

#include <cstdint>

namespace chervil::message {

struct CloseReply {
  RequestKey Key;
  std::uint32_t Attempt = 1;
  ResultCode Code = ResultCode::Ok;
};

} // namespace chervil::message

#endif
