// What one request has to do with the rollout of its service.
#ifndef CHERVIL_RELAY_VERSIONUSE_H
#define CHERVIL_RELAY_VERSIONUSE_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace chervil::relay {

struct VersionUse {
  /// Revision of the order for which the version was decided; 0 before the first.
  std::uint64_t Order = 0;
  /// The request is to be sent to the target.
  bool Target = false;
  /// Its next send to the target is counted already.
  bool IsCovered = false;
  /// Number of the last report of the node when it was counted.
  std::uint64_t CountedAt = 0;
  /// Version of the server of the current or last call. Empty unless Options::Rollouts is set.
  std::string Sent;
  /// Failures that were noted as evidence, of a server of the target and of an old one.
  bool FailedAtTarget = false;
  bool FailedAtOld = false;
  /// Events of the stream of the current call, and when the first and the last of them arrived.
  unsigned Events = 0;
  TimePoint FirstEvent{};
  TimePoint LastEvent{};
};

} // namespace chervil::relay

#endif
