// Settings for request handling on one node.
#ifndef CHERVIL_RELAY_OPTIONS_H
#define CHERVIL_RELAY_OPTIONS_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::relay {

/// Options of makeState().
struct Options {
  std::string Node;
  std::string DataCentre;
  /// Retries allowed per first send to a service, over all nodes.
  double RetryRatio = 0.2;
  /// Additional retries allowed per window and service at any request rate, over all nodes.
  double RetrySlack = 50;
  /// Sliding window in which first sends and retries are counted.
  std::chrono::milliseconds RetryWindow{10000};
  /// Largest answer that is collected before it is forwarded.
  std::uint64_t MaxAnswerBytes = std::uint64_t{4} << 20U;
  /// Bound on the bytes of all answers that are being collected. Answers up to a small size are
  /// collected beyond it.
  std::uint64_t MaxCollectedBytes = std::uint64_t{48} << 20U;
  /// Rollouts of versions are conducted; orders are ignored otherwise.
  bool Rollouts = false;
};

} // namespace chervil::relay

#endif
