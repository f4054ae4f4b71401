// Wall-clock time that ignores short jumps of the VM's clock. Usage:
//   WallTime at = filteredTime(clock, net::readNow());
// Clocks that jump by seconds usually jump back, and usage windows and deadlines must not jump with
// them. A jump is therefore accepted only if it lasts.
#ifndef CHERVIL_DUTY_JUMPTOLERANTCLOCK_H
#define CHERVIL_DUTY_JUMPTOLERANTCLOCK_H

#include "base/Time.h"

#include <chrono>
#include <optional>

namespace chervil::duty {

/// State of the filter.
struct JumpTolerantClock {
  /// Wall-clock time at steady time zero; absent before the first call.
  std::optional<WallTime> Base;
  /// Steady time at which the current jump was first seen; absent if there is none.
  std::optional<TimePoint> JumpSeenAt;
};

/// Differences up to this are accepted immediately.
inline constexpr std::chrono::milliseconds JumpThreshold{300};
/// A jump that lasts longer than this is accepted.
inline constexpr std::chrono::seconds JumpHoldTime{30};

/// Returns the wall-clock time at `now`, computed from the steady clock while the wall clock has
/// jumped.
WallTime filteredTime(JumpTolerantClock &clock, const Now &now);

} // namespace chervil::duty

#endif
