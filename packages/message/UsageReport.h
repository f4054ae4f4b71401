// From a node to the holder of the usage duty: number of requests that began on the node, by window
// and workspace. Counts only increase, so repeated, late and reordered reports do no harm.
#ifndef CHERVIL_MESSAGE_USAGEREPORT_H
#define CHERVIL_MESSAGE_USAGEREPORT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Number of requests of one workspace in one window.
struct UsageCount {
  /// The node that counted, including an identification of its start.
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
