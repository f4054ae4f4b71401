#include "duty/UsagePosting.h"

#include <algorithm>

namespace chervil::duty {

namespace {

/// First window that could not be posted before `at`.
std::uint64_t firstWindowAfter(const UsagePosting &posting, const UsageCounters &counters,
                               WallTime at) {
  return windowAt(counters, at - posting.Delay);
}

} // namespace

void onDutyTaken(UsagePosting &posting, const UsageCounters &counters, std::uint64_t token,
                 WallTime now) {
  const std::uint64_t present = windowAt(counters, now);
  const std::uint64_t first = present > RetainedWindows / 2 ? present - RetainedWindows / 2 : 0;
  posting.DutyTakenAt = now;
  posting.FirstWindow = token == posting.Token ? std::max(first, posting.FirstWindow) : first;
  posting.Token = token;
  posting.Posted = false;
  posting.StepPending = false;
  posting.RecordKnown = false;
}

void onStoreRestored(UsagePosting &posting, std::uint64_t era, WallTime now) {
  if (era <= posting.Era)
    return;
  posting.RecordKnown = false;
  posting.Era = era;
  posting.EraSince = now;
}

void onRecordRead(UsagePosting &posting, const UsageCounters &counters,
                  std::optional<UsageRecord> record, std::uint64_t revision) {
  if (posting.RecordKnown && revision <= posting.RecordRevision)
    return;
  posting.RecordRevision = revision;
  posting.RecordKnown = true;
  const std::uint64_t known = record ? record->Window : 0;
  const bool isOwn = posting.RecordToken == posting.Token;
  if (isOwn && posting.Record && posting.Record->Window > known)
    return;
  posting.RecordToken = posting.Token;
  const bool mayLackRecords = posting.Era > 0 && (!record || record->Era < posting.Era);
  if (mayLackRecords && !isOwn)
    posting.FirstWindow =
        std::max(posting.FirstWindow,
                 firstWindowAfter(posting, counters, posting.EraSince + MaxClockDifference));
  posting.Record = std::move(record);
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
  posting.Record = UsageRecord{step.Window, step.Counts, posting.Era};
  posting.RecordToken = posting.Token;
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
