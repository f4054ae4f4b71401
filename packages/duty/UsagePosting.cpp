#include "duty/UsagePosting.h"

#include <algorithm>

namespace chervil::duty {

void onDutyTaken(UsagePosting &posting, const UsageCounters &counters, WallTime now) {
  const std::uint64_t present = windowAt(counters, now);
  posting.FirstWindow = present > RetainedWindows / 2 ? present - RetainedWindows / 2 : 0;
  posting.DutyTakenAt = now;
  posting.Posted = false;
  posting.StepPending = false;
  posting.RecordKnown = false;
}

void onRecordRead(UsagePosting &posting, std::optional<UsageRecord> record,
                  std::uint64_t revision) {
  if (posting.RecordKnown && revision <= posting.RecordRevision)
    return;
  posting.Record = std::move(record);
  posting.RecordRevision = revision;
  posting.RecordKnown = true;
  posting.Posted = false;
}

std::optional<UsageStep> nextStep(UsagePosting &posting, const UsageCounters &counters,
                                  WallTime now) {
  if (posting.StepPending || !posting.RecordKnown)
    return std::nullopt;
  if (posting.Record && !posting.Posted) {
    posting.StepPending = true;
    return UsageStep{UsageStep::Kind::Post, posting.Record->Window, posting.Record->Counts, 0};
  }
  const std::uint64_t next = posting.Record
                                 ? std::max(posting.Record->Window + 1, posting.FirstWindow)
                                 : posting.FirstWindow;
  if (now < windowEnd(counters, next) + posting.Delay ||
      now < posting.DutyTakenAt + TakeoverReportTime)
    return std::nullopt;
  posting.StepPending = true;
  return UsageStep{UsageStep::Kind::Record, next, windowTotals(counters, next),
                   posting.RecordRevision};
}

void onRecorded(UsagePosting &posting, const UsageStep &step, std::uint64_t revision) {
  posting.StepPending = false;
  posting.Record = UsageRecord{step.Window, step.Counts};
  posting.RecordRevision = revision;
  posting.Posted = false;
}

void onPosted(UsagePosting &posting) {
  posting.StepPending = false;
  posting.Posted = true;
}

void onStepFailed(UsagePosting &posting, const UsageStep &step) {
  posting.StepPending = false;
  if (step.Type == UsageStep::Kind::Record)
    posting.RecordKnown = false;
}

} // namespace chervil::duty
