#include "daemon/ProcessUsage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace chervil::daemon {

ProcessUsage readProcessUsage() {
  ProcessUsage usage;
  rusage raw{};
  if (getrusage(RUSAGE_SELF, &raw) == 0)
    usage.Processor = std::chrono::seconds(raw.ru_utime.tv_sec + raw.ru_stime.tv_sec) +
                      std::chrono::microseconds(raw.ru_utime.tv_usec + raw.ru_stime.tv_usec);
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  if (in >> total >> resident)
    usage.ResidentBytes = resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

} // namespace chervil::daemon
