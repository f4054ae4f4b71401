// Posts the usage of each window exactly once, by the holder of the usage duty. Usage:
//   if (auto step = nextStep(posting, counters, wall)) execute(*step);
// Before a window is posted, its counts are recorded in the store on condition that this node still
// holds the duty. The next holder posts the recorded counts again and never different ones, because
// the platform accepts a repeated post only if it is identical.
#ifndef CHERVIL_DUTY_USAGEPOSTING_H
#define CHERVIL_DUTY_USAGEPOSTING_H

#include "duty/UsageCounters.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace chervil::duty {

/// The record in the store: the newest window that was posted or was about to be, and its counts.
struct UsageRecord {
  std::uint64_t Window = 0;
  duty::RequestCounts Counts;
  /// Era of the store when the record was written; see store::Position.
  std::uint64_t Era = 0;
};

/// A step of the posting: write the record to the store or post it to the platform.
struct UsageStep {
  enum class Kind : std::uint8_t { Record, Post };
  Kind Type = Kind::Record;
  std::uint64_t Window = 0;
  duty::RequestCounts Counts;
  /// For Record: revision of the record to replace; 0 if there is none.
  std::uint64_t ExpectedRevision = 0;
};

/// State of the posting on one node.
struct UsagePosting {
  /// Time allowed for reports of nodes after the end of a window.
  std::chrono::milliseconds Delay{2500};
  /// The record as last read or written, and its revision.
  std::optional<UsageRecord> Record;
  std::uint64_t RecordRevision = 0;
  /// The record was read since this node took the duty or since a write with an unknown outcome.
  bool RecordKnown = false;
  /// The platform accepted the recorded window.
  bool Posted = false;
  /// When this node took the duty.
  WallTime DutyTakenAt{};
  /// First window that this holder may record.
  std::uint64_t FirstWindow = 0;
  /// Fencing token of the current or last time that this node held the duty, and that under which
  /// Record was read or written. If they are equal, no other node has posted since.
  std::uint64_t Token = 0;
  std::uint64_t RecordToken = 0;
  /// Era of the store, and when this node learned of it.
  std::uint64_t Era = 0;
  WallTime EraSince{};
  /// A step or a read of the record is in progress.
  bool StepPending = false;
};

/// Time allowed for reports of other nodes after this node took the duty.
inline constexpr std::chrono::milliseconds TakeoverReportTime{1500};

/// By how much the clocks of two holders may differ.
inline constexpr std::chrono::milliseconds MaxClockDifference{1000};

/// Resets the state when this node takes the duty at `now`.
void onDutyTaken(UsagePosting &posting, const UsageCounters &counters, std::uint64_t token,
                 WallTime now);

/// The store has come back from an older copy, which may lack the latest records. Does nothing
/// unless `era` is later than the current one.
void onStoreRestored(UsagePosting &posting, std::uint64_t era, WallTime now);

/// Applies the record as read from the store; absent if there is none. An older revision than the
/// known one is ignored. If the store may have lost later records, a holder that continues keeps
/// the one that it has written, and another one skips the windows that may have been posted.
void onRecordRead(UsagePosting &posting, const UsageCounters &counters,
                  std::optional<UsageRecord> record, std::uint64_t revision);

/// Returns the next step if one is due; it is pending until one of the functions below is called.
std::optional<UsageStep> nextStep(UsagePosting &posting, const UsageCounters &counters,
                                  WallTime now);

/// The record was written with `revision`.
void onRecorded(UsagePosting &posting, const UsageStep &step, std::uint64_t revision);
/// The platform accepted the recorded window.
void onPosted(UsagePosting &posting);
/// The step failed or its outcome is unknown. After a Record step the record must be read again,
/// because the write may have taken effect.
void onStepFailed(UsagePosting &posting, const UsageStep &step);

} // namespace chervil::duty

#endif
