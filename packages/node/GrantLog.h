// Records which grants of non-repeatable requests have been used, so that a repeated reply of the
// owner cannot start a second execution. Use:
//   if (!consumeGrant(log, key, run, now.Steady)) return;   // already used
#ifndef CHERVIL_NODE_GRANTLOG_H
#define CHERVIL_NODE_GRANTLOG_H

#include "base/RequestKey.h"
#include "base/Time.h"

#include <cstdint>
#include <unordered_set>

namespace chervil::node {

/// Two generations of grant hashes. An entry is kept for one to two minutes. Repeated replies
/// arrive within seconds, because a connection that is silent for longer is closed.
struct GrantLog {
  std::unordered_set<std::uint64_t> Current;
  std::unordered_set<std::uint64_t> Previous;
  /// When Current last became Previous.
  TimePoint RotatedAt{};
};

/// Records that a grant is used. Returns false if it has been used before.
inline bool consumeGrant(GrantLog &log, const RequestKey &key, std::uint32_t run, TimePoint now) {
  if (now - log.RotatedAt > std::chrono::minutes(1)) {
    log.Previous = std::move(log.Current);
    log.Current.clear();
    log.RotatedAt = now;
  }
  const std::uint64_t hash = hashOf(key) * 31 + run;
  return !log.Previous.contains(hash) && log.Current.insert(hash).second;
}

} // namespace chervil::node

#endif
