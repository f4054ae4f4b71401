// Properties that must hold at all times. They are checked where the state lives, in release builds
// too; a violation is counted in a metric and is fatal when the fatal_invariants setting is on.
#ifndef CHERVIL_BASE_INVARIANT_H
#define CHERVIL_BASE_INVARIANT_H

#include <cstdint>

namespace chervil {

enum class Invariant : std::uint8_t {
  /// A non-repeatable key is sent to a back end at most once.
  AtMostOneSend,
  /// `not_run` is answered only for an attempt that was never granted.
  NotRunWithoutMark,
  /// Bytes of an answer belong to its key and run and are delivered in order, once.
  AnswerInOrder,
  /// An accepted request has an owner or a handover under way.
  AcceptedHasOwner,
  /// Versions of a document never fall.
  VersionNeverFalls,
  /// No new work goes to a back end that is known to be leaving.
  NoWorkToLeaving,
  /// An order carries the fencing number of a lease that is valid by a margin.
  OrderUnderLease,
  /// Limits are exceeded by no more than the stated bound.
  LimitOvershoot,
  /// An accepted request ends with a whole answer or a stated refusal.
  EndsWhole,
};

/// Stable name used in metrics and logs.
constexpr const char *toString(Invariant it) {
  switch (it) {
  case Invariant::AtMostOneSend:
    return "at_most_one_send";
  case Invariant::NotRunWithoutMark:
    return "not_run_without_mark";
  case Invariant::AnswerInOrder:
    return "answer_in_order";
  case Invariant::AcceptedHasOwner:
    return "accepted_has_owner";
  case Invariant::VersionNeverFalls:
    return "version_never_falls";
  case Invariant::NoWorkToLeaving:
    return "no_work_to_leaving";
  case Invariant::OrderUnderLease:
    return "order_under_lease";
  case Invariant::LimitOvershoot:
    return "limit_overshoot";
  case Invariant::EndsWhole:
    return "ends_whole";
  }
  return "unknown";
}

} // namespace chervil

#endif
