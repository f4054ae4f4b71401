#include "duty/UsagePosting.h"

#include <algorithm>

namespace chervil::duty {

void takeDuty(UsagePosting &posting, const UsageBook &book, WallTime now) {
  const std::uint64_t present = windowAt(book, now);
  posting.First = present > KeptWindows / 2 ? present - KeptWindows / 2 : 0;
  posting.Taken = now;
  posting.Posted = false;
  posting.Busy = false;
  posting.RecordKnown = false;
}

void onRecordSeen(UsagePosting &posting, std::optional<UsageRecord> record,
                  std::uint64_t revision) {
  if (posting.RecordKnown && revision <= posting.Revision)
    return;
  posting.Record = std::move(record);
  posting.Revision = revision;
  posting.RecordKnown = true;
  posting.Posted = false;
}

std::optional<UsageStep> nextStep(UsagePosting &posting, const UsageBook &book, WallTime now) {
  if (posting.Busy || !posting.RecordKnown)
    return std::nullopt;
  if (posting.Record && !posting.Posted) {
    posting.Busy = true;
    return UsageStep{UsageStep::Kind::Post, posting.Record->Window, posting.Record->Counts, 0};
  }
  const std::uint64_t next =
      posting.Record ? std::max(posting.Record->Window + 1, posting.First) : posting.First;
  if (now < endOf(book, next) + posting.Delay || now < posting.Taken + TakeOverTime)
    return std::nullopt;
  posting.Busy = true;
  return UsageStep{UsageStep::Kind::Record, next, totals(book, next), posting.Revision};
}

void onRecorded(UsagePosting &posting, const UsageStep &step, std::uint64_t revision) {
  posting.Busy = false;
  posting.Record = UsageRecord{step.Window, step.Counts};
  posting.Revision = revision;
  posting.Posted = false;
}

void onPosted(UsagePosting &posting) {
  posting.Busy = false;
  posting.Posted = true;
}

void onStepFailed(UsagePosting &posting, const UsageStep &step) {
  posting.Busy = false;
  if (step.What == UsageStep::Kind::Record)
    posting.RecordKnown = false;
}

} // namespace chervil::duty
