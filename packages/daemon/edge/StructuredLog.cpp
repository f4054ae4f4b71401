#include "daemon/edge/StructuredLog.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace chervil::daemon {
namespace {

void append(StructuredLog &log, const Now &now, const char *part, const char *event,
            const LogValues &values) {
  nlohmann::ordered_json line;
  line["ms"] = now.Wall.time_since_epoch().count();
  line["node"] = log.Node;
  line["part"] = part;
  line["event"] = event;
  for (const auto &[name, value] : values)
    line[name] = value;
  log.Buffer += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  log.Buffer += '\n';
}

} // namespace

void write(StructuredLog &log, const Now &now, const char *part, const char *event,
           const LogValues &values) {
  const double seconds = std::chrono::duration<double>(now.Steady - log.Updated).count();
  log.Level = std::min(log.Burst, log.Level + seconds * log.Rate);
  log.Updated = now.Steady;
  if (log.Level < 1 || log.Buffer.size() > MaxLogBuffer) {
    ++log.Dropped;
    ++log.DroppedUntold;
    return;
  }
  log.Level -= 1;
  if (log.DroppedUntold > 0)
    append(log, now, "log", "dropped", {{"lines", std::to_string(log.DroppedUntold)}});
  log.DroppedUntold = 0;
  append(log, now, part, event, values);
}

void flush(StructuredLog &log) {
  while (!log.Buffer.empty()) {
    // The descriptor may be shared with other processes, so it is polled, not set to non-blocking.
    pollfd ready{log.Descriptor, POLLOUT, 0};
    if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0)
      return;
    // A pipe that polls as writable takes at least PIPE_BUF bytes without blocking.
    const std::size_t n = std::min<std::size_t>(log.Buffer.size(), 4096);
    const ssize_t written = ::write(log.Descriptor, log.Buffer.data(), n);
    if (written <= 0)
      return;
    log.Buffer.erase(0, static_cast<std::size_t>(written));
  }
}

} // namespace chervil::daemon
