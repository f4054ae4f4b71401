// Counts the requests that started on backend servers, by time window of the wall clock, node and
// workspace. Usage:
//   countRequest(counters, self, "workspace", now.Wall);
//   mergeReport(counters, report);
//   counts = windowTotals(counters, window);
#ifndef CHERVIL_DUTY_USAGECOUNTERS_H
#define CHERVIL_DUTY_USAGECOUNTERS_H

#include "base/Time.h"
#include "message/UsageReport.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chervil::duty {

/// Number of requests by workspace.
using RequestCounts = std::map<std::string, std::uint64_t>;

/// Counts of all nodes known to this one.
struct UsageCounters {
  /// Length of a window. Windows are numbered from the epoch of the wall clock.
  std::chrono::milliseconds Window{5000};
  /// Window number -> key of a node, different for each start -> workspace -> requests.
  std::map<std::uint64_t, std::map<std::string, RequestCounts>> Windows;
};

/// Number of past windows that are kept, since a report remains useful until well after its window
/// was due.
inline constexpr std::uint64_t RetainedWindows = 6;

/// Number of the window that contains `at`.
std::uint64_t windowAt(const UsageCounters &counters, WallTime at);
/// End of a window, exclusive.
WallTime windowEnd(const UsageCounters &counters, std::uint64_t window);

/// Counts one request that started on this node, whose key is `self`.
void countRequest(UsageCounters &counters, const std::string &self, const std::string &workspace,
                  WallTime at);

/// Returns the counts of this node in the retained windows.
message::UsageReport makeNodeReport(const UsageCounters &counters, const std::string &self);

/// Returns the counts of all nodes, for the next holder of the duty.
message::UsageReport makeFullReport(const UsageCounters &counters);

/// Merges a report by taking the maximum of each count, so that repeated and reordered reports have
/// no effect.
void mergeReport(UsageCounters &counters, const message::UsageReport &report);

/// Returns the sum over all nodes by workspace.
RequestCounts windowTotals(const UsageCounters &counters, std::uint64_t window);

/// Drops windows older than RetainedWindows at `now`.
void pruneWindows(UsageCounters &counters, WallTime now);

} // namespace chervil::duty

#endif
