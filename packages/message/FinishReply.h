// From the owner to the executor: the end of the request is stored, so the executor may delete its
// state.
#ifndef CHERVIL_MESSAGE_FINISHREPLY_H
#define CHERVIL_MESSAGE_FINISHREPLY_H

#include "base/RequestKey.h"

#include <cstdint>

namespace chervil::message {

struct FinishReply {
  RequestKey Key;
  std::uint32_t Run = 0;
};

} // namespace chervil::message

#endif
