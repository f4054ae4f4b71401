#include "duty/JumpTolerantClock.h"

namespace chervil::duty {

WallTime filteredTime(JumpTolerantClock &clock, const Now &now) {
  const auto steady =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady.time_since_epoch());
  const WallTime base = now.Wall - steady;
  if (!clock.Base)
    clock.Base = base;
  const bool jumped = std::chrono::abs(base - *clock.Base) > JumpThreshold;
  if (jumped && !clock.JumpSeenAt)
    clock.JumpSeenAt = now.Steady;
  if (!jumped || now.Steady - *clock.JumpSeenAt > JumpHoldTime) {
    clock.Base = base;
    clock.JumpSeenAt.reset();
  }
  return *clock.Base + steady;
}

} // namespace chervil::duty
