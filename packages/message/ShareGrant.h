// From a limit home to a node: the node's shares of the customers' limits.
#ifndef CHERVIL_MESSAGE_SHAREGRANT_H
#define CHERVIL_MESSAGE_SHAREGRANT_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Part of a customer's limits that the receiver may use.
struct Share {
  std::string Customer;
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  /// Number of concurrent streams.
  std::uint32_t Streams = 0;
  /// The share expires this long after it was received.
  std::chrono::milliseconds Lifetime{0};
};

struct ShareGrant {
  std::vector<Share> Shares;
};

} // namespace chervil::message

#endif
