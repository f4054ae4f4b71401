// Bounds the part of a thread's time that work of low priority uses while other work waits. Use:
//   if (isIdle || mayWork(share, used)) { const Duration begin = used; work(); noteWork(...); }
// Decides only; the caller reads the processor time of its thread.
#ifndef CHERVIL_LIMITS_WORKSHARE_H
#define CHERVIL_LIMITS_WORKSHARE_H

#include "base/Time.h"

namespace chervil::limits {

struct WorkShare {
  /// Part of the processor time, between 0 and 1.
  double Fraction = 0.05;
  /// Processor time of the thread before which no such work is done.
  Duration NotBefore{0};
};

/// Returns true if the thread, which has used `used` of processor time, may do such work now.
inline bool mayWork(const WorkShare &share, Duration used) { return used >= share.NotBefore; }

/// Notes that such work was done between these processor times.
inline void noteWork(WorkShare &share, Duration begin, Duration end) {
  const auto other = std::chrono::duration<double>(end - begin) * (1 / share.Fraction - 1);
  share.NotBefore = end + std::chrono::duration_cast<Duration>(other);
}

} // namespace chervil::limits

#endif
