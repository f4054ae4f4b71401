// Compares the bad answers of the target with those of the version in force on one route.
// docs/design/rollouts.md derives the test and its error rates. Use:
//   addAnswers(test, {.TargetAnswers = 3, .TargetBad = 1, .BaseAnswers = 40, .BaseBad = 1}, now);
//   if (isWorse(test)) revert();
//   else if (isAccepted(test)) ...
#ifndef CHERVIL_ROLLOUT_SEQUENTIALTEST_H
#define CHERVIL_ROLLOUT_SEQUENTIALTEST_H

#include "base/Time.h"

#include <cstdint>

namespace chervil::rollout {

/// Answers of both versions in the same time. Evidence that is withdrawn makes them negative.
struct AnswerCounts {
  std::int64_t TargetAnswers = 0;
  std::int64_t TargetBad = 0;
  std::int64_t BaseAnswers = 0;
  std::int64_t BaseBad = 0;
};

struct SequentialTest {
  /// The window that is open, since when, and all windows that ended.
  AnswerCounts Window;
  TimePoint WindowSince{};
  AnswerCounts Total;
  /// Log likelihood ratio of "worse" against "as good", since the order.
  double Sum = 0;
  /// The same since its last minimum.
  double Rise = 0;
};

/// Adds answers to the window that is open.
void addAnswers(SequentialTest &test, const AnswerCounts &counts, const Now &now);

/// Evaluates the window if it is over. Returns the change of the log likelihood ratio.
double closeWindow(SequentialTest &test, const Now &now);

/// Adds a change that was found on one route to a test over all routes: a fault on all routes shows
/// sooner in their sum.
void addChange(SequentialTest &test, double change);

/// The target is worse than the version in force.
bool isWorse(const SequentialTest &test);

/// The target has answered so well that it can be given all requests.
bool isAccepted(const SequentialTest &test);

/// Nothing points to a bad target, although the evidence may not suffice.
bool leansToGood(const SequentialTest &test);

} // namespace chervil::rollout

#endif
