// Usage reports of the holder of the duty.
#include "daemon/edge/DutyDetail.h"

#include <algorithm>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Counts of nodes that end with the holder survive it in the store, up to this age. With 1 s,
// windows in which all nodes were killed were off by 20 to 90%, with 400 ms by 10 to 13%; 5% are
// allowed. A large fleet's counts are a long value, and few of its nodes end at once.
constexpr Duration LeastBookPeriod = 200ms;
constexpr Duration BookPeriodPerNode = 6ms;
constexpr Duration MostBookPeriod = 1s;

void readRecord(Edge &edge) {
  edge.Posting.StepPending = true;
  callPlatform(edge, adapter::itemCall(edge.Settings.Edge.StoreAddress, RecordKey),
               [&edge, era = edge.StoreEra](const PlatformAnswer &answer) {
                 edge.Posting.StepPending = false;
                 if (!isSameEra(edge.StoreEra, era))
                   return;
                 if (answer.Status == adapter::NotFoundStatus) {
                   duty::onRecordRead(edge.Posting, edge.Usage, std::nullopt, 0);
                   return;
                 }
                 const auto item =
                     answer.Status == 200 ? adapter::readItem(answer.Body) : std::nullopt;
                 if (!item)
                   return;
                 duty::onRecordRead(edge.Posting, edge.Usage, adapter::decodeRecord(item->Value),
                                    item->Revision);
               });
}

void readBook(Edge &edge) {
  edge.BookBusy = true;
  callPlatform(edge, adapter::itemCall(edge.Settings.Edge.StoreAddress, BookKey),
               [&edge](const PlatformAnswer &answer) {
                 edge.BookBusy = false;
                 const auto item =
                     answer.Status == 200 ? adapter::readItem(answer.Body) : std::nullopt;
                 if (item)
                   duty::mergeReport(edge.Usage, adapter::decodeReport(item->Value));
                 edge.BookKnown = item.has_value() || answer.Status == adapter::NotFoundStatus;
               });
}

/// Leaves the counts of all nodes in the store for a later holder. Losing a write costs nothing but
/// their freshness.
void writeBook(Edge &edge, const Now &now) {
  if (edge.BookBusy || now.Steady < edge.NextBookWrite)
    return;
  edge.NextBookWrite =
      now.Steady +
      std::clamp<Duration>(BookPeriodPerNode * static_cast<std::int64_t>(edge.Relay.LiveNodes),
                           LeastBookPeriod, MostBookPeriod);
  const message::UsageReport report = duty::makeFullReport(edge.Usage);
  if (report.Counts.empty())
    return;
  edge.BookBusy = true;
  adapter::ConditionalWrite write;
  write.Conditions = {{HolderKey, edge.Lease.KeyRevision}};
  write.Writes = {{.Key = BookKey, .Value = adapter::encodeReport(report)}};
  callPlatform(edge, adapter::writeCall(edge.Settings.Edge.StoreAddress, write),
               [&edge](const PlatformAnswer &answer) {
                 edge.BookBusy = false;
                 if (answer.Status != 200)
                   count(edge.Counters, "store_failed", "counts");
               });
}

std::string summary(const duty::RequestCounts &counts) {
  std::uint64_t sum = 0;
  for (const auto &[workspace, n] : counts)
    sum += n;
  return std::to_string(sum);
}

void post(Edge &edge, const duty::UsageStep &step) {
  callAsHolder(
      edge,
      adapter::usageCall(edge.Settings.Edge.DutyAddress, holderOf(edge), step.Window, step.Counts),
      [&edge, step](const PlatformAnswer &answer) {
        logLine(edge, "duty", "usage_posted",
                {{"window", std::to_string(step.Window)},
                 {"requests", summary(step.Counts)},
                 {"token", std::to_string(edge.Lease.FencingToken)},
                 {"status", std::to_string(answer.Status)}});
        if (answer.Status == 200)
          duty::onPosted(edge.Posting);
        else
          duty::onStepFailed(edge.Posting, step);
      });
}

void record(Edge &edge, const duty::UsageStep &step) {
  adapter::ConditionalWrite write;
  write.Conditions = {{HolderKey, edge.Lease.KeyRevision}, {RecordKey, step.ExpectedRevision}};
  write.Writes = {{.Key = RecordKey,
                   .Value = adapter::encodeRecord({step.Window, step.Counts, edge.StoreEra})}};
  callPlatform(edge, adapter::writeCall(edge.Settings.Edge.StoreAddress, write),
               [&edge, step, era = edge.StoreEra](const PlatformAnswer &answer) {
                 const auto revision = answer.Status == 200 && isSameEra(edge.StoreEra, era)
                                           ? adapter::readRevision(answer.Body)
                                           : std::nullopt;
                 if (revision)
                   duty::onRecorded(edge.Posting, step, *revision);
                 else
                   duty::onStepFailed(edge.Posting, step);
                 tickDuty(edge);
               });
}

} // namespace

void tickUsage(Edge &edge) {
  const Now now = net::readNow();
  const WallTime wall = duty::filteredTime(edge.Clock, now);
  const bool held = duty::isHeld(edge.Lease, now);
  if (held != edge.ActsAsHolder) {
    edge.ActsAsHolder = held;
    logLine(edge, "duty", held ? "taken" : "ended",
            {{"token", std::to_string(edge.Lease.FencingToken)}});
    if (held)
      duty::onDutyTaken(edge.Posting, edge.Usage, edge.Lease.FencingToken, wall);
    edge.BookKnown = false;
  }
  if (!held)
    return;
  if (!edge.BookKnown) {
    if (!edge.BookBusy)
      readBook(edge);
    return;
  }
  writeBook(edge, now);
  if (!edge.Posting.RecordKnown && !edge.Posting.StepPending) {
    readRecord(edge);
    return;
  }
  const auto step = duty::nextStep(edge.Posting, edge.Usage, wall);
  if (!step)
    return;
  if (step->Type == duty::UsageStep::Kind::Post)
    post(edge, *step);
  else
    record(edge, *step);
}

} // namespace chervil::daemon::detail
