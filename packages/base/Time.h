// Time as decision code sees it. Use:
//   void tick(State &state, const Now &now);
#ifndef CHERVIL_BASE_TIME_H
#define CHERVIL_BASE_TIME_H

#include <chrono>

namespace chervil {

using Duration = std::chrono::microseconds;
/// Monotonic time of one process; not comparable between processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time; comparable between nodes within the clock margin setting.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Both clocks read at one moment. Passed into decision code, which has no clock of its own.
struct Now {
  TimePoint Steady;
  WallTime Wall;
};

} // namespace chervil

#endif
