#include "duty/TrueClock.h"

namespace chervil::duty {

WallTime trueTime(TrueClock &clock, const Now &now) {
  const auto steady =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady.time_since_epoch());
  const WallTime base = now.Wall - steady;
  if (!clock.Base)
    clock.Base = base;
  const bool jumped = std::chrono::abs(base - *clock.Base) > JumpSize;
  if (jumped && !clock.JumpedAt)
    clock.JumpedAt = now.Steady;
  if (!jumped || now.Steady - *clock.JumpedAt > JumpTime) {
    clock.Base = base;
    clock.JumpedAt.reset();
  }
  return *clock.Base + steady;
}

} // namespace chervil::duty
