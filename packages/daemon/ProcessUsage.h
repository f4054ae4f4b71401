// Processor time and memory of this process.
#ifndef CHERVIL_DAEMON_PROCESSUSAGE_H
#define CHERVIL_DAEMON_PROCESSUSAGE_H

#include "base/Time.h"

#include <cstddef>

namespace chervil::daemon {

struct ProcessUsage {
  Duration Processor{0};
  std::size_t ResidentBytes = 0;
};

ProcessUsage readProcessUsage();

} // namespace chervil::daemon

#endif
