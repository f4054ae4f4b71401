// Structured log: one JSON object a line on standard output, bounded in volume and never blocking.
// Use:
//   write(log, now, "relay", "refused", {{"request", id}, {"reason", "limit_tokens"}});
//   flush(log);   // on a timer and before the process ends
#ifndef CHERVIL_DAEMON_EDGE_STRUCTUREDLOG_H
#define CHERVIL_DAEMON_EDGE_STRUCTUREDLOG_H

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervil::daemon {

using LogValues = std::vector<std::pair<const char *, std::string>>;

struct StructuredLog {
  int Descriptor = 1;
  /// Lines per second over a longer time, and at once.
  double Rate = 200;
  double Burst = 1000;
  double Level = 1000;
  TimePoint Updated{};
  std::uint64_t Dropped = 0;
  /// Lines dropped since the last one that said so.
  std::uint64_t DroppedUntold = 0;
  std::string Buffer;
  std::string Node;
};

/// Lines that wait in the buffer at most; more are dropped.
inline constexpr std::size_t MaxLogBuffer = 256 * 1024;

void write(StructuredLog &log, const Now &now, const char *part, const char *event,
           const LogValues &values);

/// Hands the buffer to the descriptor as far as it takes it.
void flush(StructuredLog &log);

} // namespace chervil::daemon

#endif
