// Wall-clock time that does not follow jumps of the VM's clock. Use:
//   WallTime at = filteredTime(clock, net::readNow());
// Follows a jump only when it lasts: clocks that jump by seconds jump back, and windows of usage
// and deadlines must not jump with them.
#ifndef CHERVIL_DUTY_JUMPTOLERANTCLOCK_H
#define CHERVIL_DUTY_JUMPTOLERANTCLOCK_H

#include "base/Time.h"

#include <chrono>
#include <optional>

namespace chervil::duty {

struct JumpTolerantClock {
  /// Wall-clock time at steady time zero.
  std::optional<WallTime> Base;
  /// Since when the VM's clock differs.
  std::optional<TimePoint> JumpSeenAt;
};

/// A smaller difference is followed at once.
inline constexpr std::chrono::milliseconds JumpThreshold{300};
/// A jump that lasts longer is followed.
inline constexpr std::chrono::seconds JumpHoldTime{30};

WallTime filteredTime(JumpTolerantClock &clock, const Now &now);

} // namespace chervil::duty

#endif
