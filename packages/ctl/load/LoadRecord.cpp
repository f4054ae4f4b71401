#include "ctl/load/LoadRecord.h"

namespace chervil::load {
namespace {

void count(Summary &summary, LoadOutcome outcome) {
  switch (outcome) {
  case LoadOutcome::Ok:
    ++summary.Ok;
    return;
  case LoadOutcome::Refused:
    ++summary.Refused;
    return;
  case LoadOutcome::Unknown:
    ++summary.Unknown;
    return;
  case LoadOutcome::Lost:
    ++summary.Lost;
    return;
  case LoadOutcome::Partial:
    ++summary.Partial;
    return;
  case LoadOutcome::Wrong:
    ++summary.Wrong;
    return;
  }
}

} // namespace

const char *toString(LoadOutcome outcome) {
  switch (outcome) {
  case LoadOutcome::Ok:
    return "ok";
  case LoadOutcome::Refused:
    return "refused";
  case LoadOutcome::Unknown:
    return "unknown";
  case LoadOutcome::Lost:
    return "lost";
  case LoadOutcome::Partial:
    return "partial";
  case LoadOutcome::Wrong:
    return "wrong";
  }
  return "unknown";
}

LoadOutcome finalOutcome(const CallerState &state) {
  const bool notRun = state.LastRefusal && state.LastRefusal->Result == Outcome::NotRun &&
                      !state.MayRun && !state.GotBytes;
  // A definite refusal, such as quarantine, may follow acceptance; a passing one, such as a limit,
  // does not excuse the loss of an accepted request.
  if (notRun && (!state.Accepted || !state.LastRefusal->Retry))
    return LoadOutcome::Refused;
  if (state.Accepted && state.Repeatable)
    return LoadOutcome::Lost;
  // Nothing was ever sent: the caller itself knows that it did not run.
  if (!state.MayRun && !state.LastRefusal)
    return LoadOutcome::Refused;
  return LoadOutcome::Unknown;
}

Summary summarise(const std::vector<LoadRecord> &records, const ExecutionCounts *executions) {
  Summary summary;
  summary.Requests = records.size();
  for (const LoadRecord &it : records) {
    LoadOutcome outcome = it.Outcome;
    if (executions != nullptr && it.Counted) {
      const auto found = executions->find(it.Key);
      const std::uint64_t ran = found == executions->end() ? 0 : found->second;
      if (ran > 1 && !it.Repeatable)
        ++summary.Doubled;
      if (ran > 0 && outcome == LoadOutcome::Refused)
        ++summary.WrongNotRun;
      if (ran == 0 && outcome == LoadOutcome::Ok)
        outcome = LoadOutcome::Lost;
    }
    count(summary, outcome);
  }
  return summary;
}

bool violates(const Summary &summary) {
  return summary.Lost + summary.Doubled + summary.Partial + summary.Wrong + summary.WrongNotRun > 0;
}

} // namespace chervil::load
