// Requests that began on backend servers, by window of the wall clock and workspace. Use:
//   began(book, self, "workspace", now.Wall);
//   merge(book, report);
//   counts = totals(book, window);
#ifndef CHERVIL_DUTY_USAGECOUNTERS_H
#define CHERVIL_DUTY_USAGECOUNTERS_H

#include "base/Time.h"
#include "message/UsageReport.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chervil::duty {

using RequestCounts = std::map<std::string, std::uint64_t>;

struct UsageCounters {
  std::chrono::milliseconds Window{5000};
  /// Window -> node (with its start) -> workspace -> requests.
  std::map<std::uint64_t, std::map<std::string, RequestCounts>> Windows;
};

/// Windows kept: a report is of use until well after its window was due.
inline constexpr std::uint64_t RetainedWindows = 6;

std::uint64_t windowAt(const UsageCounters &counters, WallTime at);
/// End of a window.
WallTime windowEnd(const UsageCounters &counters, std::uint64_t window);

/// Counts a request of this node.
void countRequest(UsageCounters &counters, const std::string &self, const std::string &workspace,
                  WallTime at);

/// What this node counted in the kept windows.
message::UsageReport makeNodeReport(const UsageCounters &counters, const std::string &self);

/// All that is known of all nodes, for a later holder of the duty.
message::UsageReport makeFullReport(const UsageCounters &counters);

/// Takes the larger of each count, so that repeated and reordered reports do no harm.
void mergeReport(UsageCounters &counters, const message::UsageReport &report);

/// Sum over all nodes.
RequestCounts windowTotals(const UsageCounters &counters, std::uint64_t window);

/// Forgets windows that are too old at `now`.
void pruneWindows(UsageCounters &counters, WallTime now);

} // namespace chervil::duty

#endif
