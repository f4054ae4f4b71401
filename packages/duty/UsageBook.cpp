#include "duty/UsageBook.h"

#include <algorithm>

namespace chervil::duty {

std::uint64_t windowAt(const UsageBook &book, WallTime at) {
  return static_cast<std::uint64_t>(at.time_since_epoch() / book.Window);
}

WallTime endOf(const UsageBook &book, std::uint64_t window) {
  return WallTime(book.Window * static_cast<std::int64_t>(window + 1));
}

void began(UsageBook &book, const std::string &self, const std::string &workspace, WallTime at) {
  ++book.Windows[windowAt(book, at)][self][workspace];
}

message::UsageReport reportOf(const UsageBook &book, const std::string &self) {
  message::UsageReport out;
  for (const auto &[window, nodes] : book.Windows)
    if (const auto it = nodes.find(self); it != nodes.end())
      for (const auto &[workspace, n] : it->second)
        out.Counts.push_back({self, window, workspace, n});
  return out;
}

message::UsageReport reportOf(const UsageBook &book) {
  message::UsageReport out;
  for (const auto &[window, nodes] : book.Windows)
    for (const auto &[node, counts] : nodes)
      for (const auto &[workspace, n] : counts)
        out.Counts.push_back({node, window, workspace, n});
  return out;
}

void merge(UsageBook &book, const message::UsageReport &report) {
  for (const message::UsageCount &it : report.Counts) {
    std::uint64_t &n = book.Windows[it.Window][it.Node][it.Workspace];
    n = std::max(n, it.Requests);
  }
}

Counts totals(const UsageBook &book, std::uint64_t window) {
  Counts out;
  if (const auto it = book.Windows.find(window); it != book.Windows.end())
    for (const auto &[node, counts] : it->second)
      for (const auto &[workspace, n] : counts)
        out[workspace] += n;
  return out;
}

void prune(UsageBook &book, WallTime now) {
  const std::uint64_t present = windowAt(book, now);
  std::erase_if(book.Windows, [&](const auto &it) { return it.first + KeptWindows < present; });
}

} // namespace chervil::duty
