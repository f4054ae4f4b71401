// What one request has to do with the rollout of its service.
#ifndef CHERVIL_RELAY_VERSIONUSE_H
#define CHERVIL_RELAY_VERSIONUSE_H

#include <cstdint>

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
  /// Failures that were noted as evidence, of a server of the target and of an old one.
  bool FailedAtTarget = false;
  bool FailedAtOld = false;
};

} // namespace chervil::relay

#endif
