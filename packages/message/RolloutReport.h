// From a node to the holder of the duty while a rollout is under way: what the node has sent and
// seen since it learned of the order. Sending a report gives up the unused units of the last grant.
#ifndef CHERVIL_MESSAGE_ROLLOUTREPORT_H
#define CHERVIL_MESSAGE_ROLLOUTREPORT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Answers of one version on one route. Counts only increase, but for evidence that is withdrawn.
struct RolloutCounts {
  std::string Route;
  /// True for the target, false for the version in force.
  bool Target = false;
  std::uint64_t Answers = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Slow = 0;
};

struct RolloutReport {
  std::string Service;
  /// Revision of the order in the store.
  std::uint64_t Order = 0;
  /// The node, including an identification of its start.
  std::string Node;
  /// Number of the report; a grant repeats it.
  std::uint64_t Seq = 0;
  /// Requests sent to the target, and all requests of the service.
  std::uint64_t Sent = 0;
  std::uint64_t Seen = 0;
  /// Requests in flight to the old servers that their immediate stop would harm.
  std::uint64_t OldOpen = 0;
  /// All new requests go to the target, for rollout::ClosedTime from this report on at least.
  bool Closed = false;
  std::vector<RolloutCounts> Counts;
};

} // namespace chervil::message

#endif
