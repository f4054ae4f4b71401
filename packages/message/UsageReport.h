// To the holder of the usage duty: requests that began on this node, by window and workspace.
// Counts only grow, so that repeated, late and reordered reports do no harm.
#ifndef CHERVIL_MESSAGE_USAGEREPORT_H
#define CHERVIL_MESSAGE_USAGEREPORT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct UsageCount {
  /// Node that counted, with its start.
  std::string Node;
  std::uint64_t Window = 0;
  std::string Workspace;
  std::uint64_t Requests = 0;
};

struct UsageReport {
  std::vector<UsageCount> Counts;
};

} // namespace chervil::message

#endif
