// A contract change that an operator's request waits for.
#ifndef CHERVIL_DAEMON_CONTRACTCHANGE_H
#define CHERVIL_DAEMON_CONTRACTCHANGE_H

#include "config/Change.h"

#include <cstdint>
#include <string>

namespace chervil::daemon {

struct ContractChangeRun {
  /// The waiting request. A change goes on when its connection ends.
  std::uint64_t RequestId = 0;
  config::ChangeState State;
  /// The contract document as last read or written, for the local node.
  std::string Document;
};

} // namespace chervil::daemon

#endif
