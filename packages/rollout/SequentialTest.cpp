#include "rollout/SequentialTest.h"

#include <algorithm>
#include <cmath>

namespace chervil::rollout {
namespace {

using namespace std::chrono_literals;

// Part of the good answers that the alternative hypothesis spoils.
constexpr double SpoiledPart = 0.2;
// Smallest share of bad answers assumed of the version in force, which may have had few answers.
constexpr double LeastBadShare = 0.01;
// A window in which the version in force fails this often says nothing about the target.
constexpr double OutageBadShare = 0.5;
// Weight of the share since the order, in answers, when the share of a window is estimated.
constexpr double PriorAnswers = 20;
// -ln of the probability that a version of the alternative is accepted: 1 in 100.
constexpr double AcceptAt = 4.61;
// A good version crosses this from one minimum with a probability of at most e^-10.
constexpr double RevertAt = 10;
constexpr double LeanAt = 5;
// Nodes report within this time of each other; shorter windows compare different moments.
constexpr Duration MinWindow = 400ms;
// A window ends with this many answers of the version in force, or after MaxWindow.
constexpr std::int64_t WindowAnswers = 10;
constexpr Duration MaxWindow = 2s;
// A route with fewer answers of the version in force since the order is rare.
constexpr std::int64_t RareAnswers = 20;
constexpr std::int64_t RareAccepted = 3;

double share(double bad, double answers) { return answers > 0 ? bad / answers : 0; }

bool isRare(const SequentialTest &test) {
  return test.Total.BaseAnswers + test.Window.BaseAnswers < RareAnswers;
}

} // namespace

void addAnswers(SequentialTest &test, const AnswerCounts &counts, const Now &now) {
  AnswerCounts &window = test.Window;
  if (window.TargetAnswers == 0 && window.BaseAnswers == 0)
    test.WindowSince = now.Steady;
  window.TargetAnswers += counts.TargetAnswers;
  window.TargetBad += counts.TargetBad;
  window.BaseAnswers += counts.BaseAnswers;
  window.BaseBad += counts.BaseBad;
}

namespace {

/// Change of the log likelihood ratio by the window that is open.
double changeBy(const SequentialTest &test) {
  const AnswerCounts &w = test.Window;
  const AnswerCounts &before = test.Total;
  const double usual = share(double(before.BaseBad + w.BaseBad) + 0.5,
                             double(before.BaseAnswers + w.BaseAnswers) + 1);
  const double recent = share(double(std::max<std::int64_t>(0, w.BaseBad)) + PriorAnswers * usual,
                              double(std::max<std::int64_t>(0, w.BaseAnswers)) + PriorAnswers);
  const double p0 = std::clamp(std::max(usual, recent), LeastBadShare, 1.0);
  if (p0 >= OutageBadShare)
    return 0;
  const double p1 = 1 - (1 - p0) * (1 - SpoiledPart);
  return double(w.TargetBad) * std::log(p1 / p0) +
         double(w.TargetAnswers - w.TargetBad) * std::log(1 - SpoiledPart);
}

} // namespace

double closeWindow(SequentialTest &test, const Now &now) {
  const AnswerCounts w = test.Window;
  const Duration age = now.Steady - test.WindowSince;
  if ((w.TargetAnswers == 0 && w.BaseAnswers == 0) || age < MinWindow ||
      (w.BaseAnswers < WindowAnswers && age < MaxWindow))
    return 0;
  const double change = changeBy(test);
  test.Window = {};
  test.Total.TargetAnswers += w.TargetAnswers;
  test.Total.TargetBad += w.TargetBad;
  test.Total.BaseAnswers += w.BaseAnswers;
  test.Total.BaseBad += w.BaseBad;
  addChange(test, change);
  return change;
}

void addChange(SequentialTest &test, double change) {
  test.Sum += change;
  test.Rise = std::max(0.0, test.Rise + change);
}

bool isWorse(const SequentialTest &test) { return test.Rise + changeBy(test) >= RevertAt; }

bool isAccepted(const SequentialTest &test) {
  if (isRare(test))
    return test.Total.TargetAnswers + test.Window.TargetAnswers >= RareAccepted &&
           test.Total.TargetBad + test.Window.TargetBad == 0;
  return test.Sum <= -AcceptAt && test.Rise < LeanAt;
}

bool leansToGood(const SequentialTest &test) { return test.Rise < LeanAt; }

} // namespace chervil::rollout
