#include "duty/UsageCounters.h"

#include <algorithm>

namespace chervil::duty {

std::uint64_t windowAt(const UsageCounters &counters, WallTime at) {
  return static_cast<std::uint64_t>(at.time_since_epoch() / counters.Window);
}

WallTime windowEnd(const UsageCounters &counters, std::uint64_t window) {
  return WallTime(counters.Window * static_cast<std::int64_t>(window + 1));
}

void countRequest(UsageCounters &counters, const std::string &self, const std::string &workspace,
                  WallTime at) {
  ++counters.Windows[windowAt(counters, at)][self][workspace];
}

message::UsageReport makeNodeReport(const UsageCounters &counters, const std::string &self) {
  message::UsageReport out;
  for (const auto &[window, nodes] : counters.Windows)
    if (const auto it = nodes.find(self); it != nodes.end())
      for (const auto &[workspace, n] : it->second)
        out.Counts.push_back({self, window, workspace, n});
  return out;
}

message::UsageReport makeFullReport(const UsageCounters &counters) {
  message::UsageReport out;
  for (const auto &[window, nodes] : counters.Windows)
    for (const auto &[node, counts] : nodes)
      for (const auto &[workspace, n] : counts)
        out.Counts.push_back({node, window, workspace, n});
  return out;
}

void mergeReport(UsageCounters &counters, const message::UsageReport &report) {
  for (const message::UsageCount &it : report.Counts) {
    std::uint64_t &n = counters.Windows[it.Window][it.Node][it.Workspace];
    n = std::max(n, it.Requests);
  }
}

RequestCounts windowTotals(const UsageCounters &counters, std::uint64_t window) {
  RequestCounts out;
  if (const auto it = counters.Windows.find(window); it != counters.Windows.end())
    for (const auto &[node, counts] : it->second)
      for (const auto &[workspace, n] : counts)
        out[workspace] += n;
  return out;
}

void pruneWindows(UsageCounters &counters, WallTime now) {
  const std::uint64_t present = windowAt(counters, now);
  std::erase_if(counters.Windows,
                [&](const auto &it) { return it.first + RetainedWindows < present; });
}

} // namespace chervil::duty
