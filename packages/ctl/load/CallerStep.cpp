#include "ctl/load/CallerStep.h"

#include <algorithm>

namespace chervil::load {
namespace {

using namespace std::chrono_literals;

/// Same bounds as the system's own retries (docs/design.md, section 9), with a lower ceiling, so
/// that a caller sees the end of a short outage.
constexpr Duration MinBackoff = 50ms;
constexpr Duration MaxBackoff = 2s;
constexpr int StatusNotFound = 404;
constexpr int StatusBadOffset = 416;

/// Decorrelated jitter, or Retry-After plus up to a quarter, so that callers do not return
/// together.
Duration waitBefore(CallerState &state, const CallEnd &end, Random &rng) {
  Duration stated = end.RetryAfter;
  if (end.Refused)
    stated = std::max<Duration>(stated, end.Refused->RetryAfter);
  if (stated > Duration::zero()) {
    std::uniform_real_distribution<double> extra(1.0, 1.25);
    return std::chrono::duration_cast<Duration>(stated * extra(rng));
  }
  const Duration high = std::max(MinBackoff, state.Backoff * 3);
  std::uniform_int_distribution<Duration::rep> pick(MinBackoff.count(), high.count());
  state.Backoff = std::min(MaxBackoff, Duration(pick(rng)));
  return state.Backoff;
}

CallerActionKind afterRefusal(CallerState &state, const CallEnd &end) {
  const Refusal &refusal = *end.Refused;
  switch (refusal.Result) {
  case Outcome::NotRun:
    state.MayRun = false;
    if (!refusal.Retry)
      return CallerActionKind::GiveUp;
    // The attempt is closed; only a later one can run.
    if (!state.Repeatable)
      ++state.Attempt;
    return CallerActionKind::Send;
  case Outcome::Ran:
    return CallerActionKind::GiveUp;
  case Outcome::Unknown:
    break;
  }
  if (end.Status == StatusBadOffset)
    return CallerActionKind::FetchAll;
  if (!refusal.Retry)
    return CallerActionKind::GiveUp;
  if (!state.Repeatable)
    return CallerActionKind::FetchAll;
  const bool held = end.Fetch ? end.Status != StatusNotFound : state.Accepted;
  return held ? CallerActionKind::Fetch : CallerActionKind::Send;
}

CallerActionKind decide(CallerState &state, const CallEnd &end) {
  if (end.Refused)
    return afterRefusal(state, end);
  if (end.Failure == net::HttpFailure::NotSent)
    return end.Fetch ? CallerActionKind::Fetch : CallerActionKind::Send;
  return CallerActionKind::Fetch;
}

} // namespace

CallerAction nextAction(CallerState &state, const CallEnd &end, TimePoint now, Random &rng) {
  if (end.Failure != net::HttpFailure::NotSent && !end.Fetch)
    state.MayRun = true;
  if (end.Status >= 200 && end.Status < 300)
    state.Accepted = true;
  state.GotBytes |= end.GotBytes;
  if (end.Refused)
    state.LastRefusal = end.Refused;
  if (end.Whole && !end.Refused)
    return {CallerActionKind::Finish, Duration::zero()};
  const CallerActionKind kind = decide(state, end);
  if (kind == CallerActionKind::GiveUp)
    return {kind, Duration::zero()};
  const Duration wait = end.Moved ? Duration::zero() : waitBefore(state, end, rng);
  if (now + wait >= state.GiveUpAt)
    return {CallerActionKind::GiveUp, Duration::zero()};
  return {kind, wait};
}

} // namespace chervil::load
