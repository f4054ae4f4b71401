// Posts the usage of each window exactly once, by the holder of the duty. Use:
//   if (auto step = nextStep(posting, book, wall)) carryOut(*step);
// Before a window is posted, its counts are recorded in the store under the condition that this
// node still holds the duty. A later holder posts the recorded counts again, never others, because
// the platform accepts an exact repeat only.
#ifndef CHERVIL_DUTY_USAGEPOSTING_H
#define CHERVIL_DUTY_USAGEPOSTING_H

#include "duty/UsageCounters.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace chervil::duty {

/// What the store holds of the newest window that was posted or was about to be.
struct UsageRecord {
  std::uint64_t Window = 0;
  duty::RequestCounts Counts;
};

struct UsageStep {
  enum class Kind : std::uint8_t { Record, Post };
  Kind Type = Kind::Record;
  std::uint64_t Window = 0;
  duty::RequestCounts Counts;
  /// Record: revision of the record that is replaced; 0 if there is none.
  std::uint64_t ExpectedRevision = 0;
};

struct UsagePosting {
  /// Time after the end of a window in which nodes report.
  std::chrono::milliseconds Delay{2500};
  /// The record in the store and its revision.
  std::optional<UsageRecord> Record;
  std::uint64_t RecordRevision = 0;
  /// The record has been read since the duty was taken.
  bool RecordKnown = false;
  /// The recorded window has been accepted.
  bool Posted = false;
  /// When this node took the duty.
  WallTime DutyTakenAt{};
  /// First window that this holder may record if there is no record.
  std::uint64_t FirstWindow = 0;
  bool StepPending = false;
};

/// Time after taking the duty in which the other nodes report what they counted.
inline constexpr std::chrono::milliseconds TakeoverReportTime{1500};

/// This node takes the duty at `now`.
void onDutyTaken(UsagePosting &posting, const UsageCounters &counters, WallTime now);

/// The record as it is in the store; absent if there is none.
void onRecordRead(UsagePosting &posting, std::optional<UsageRecord> record, std::uint64_t revision);

/// The next step, if there is one; it counts as under way until one of the functions below.
std::optional<UsageStep> nextStep(UsagePosting &posting, const UsageCounters &counters,
                                  WallTime now);

void onRecorded(UsagePosting &posting, const UsageStep &step, std::uint64_t revision);
void onPosted(UsagePosting &posting);
/// The step failed or its outcome is unknown. After a record the store must be read again, because
/// the write may have taken effect.
void onStepFailed(UsagePosting &posting, const UsageStep &step);

} // namespace chervil::duty

#endif
