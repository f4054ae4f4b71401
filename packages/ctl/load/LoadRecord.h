// What became of one request, and the classification of outcomes. Use:
//   record.Outcome = finalOutcome(state);
//   Summary s = summarise(records, executions);
#ifndef CHERVIL_CTL_LOAD_LOADRECORD_H
#define CHERVIL_CTL_LOAD_LOADRECORD_H

#include "ctl/load/CallerStep.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervil::load {

enum class LoadOutcome : std::uint8_t {
  /// The complete answer to this request arrived.
  Ok,
  /// The system says that the request did not run.
  Refused,
  /// It may have run, and the system says so or said nothing.
  Unknown,
  /// The system accepted it and never gave its answer.
  Lost,
  /// An answer that claims to be complete is only the beginning of the right one.
  Partial,
  /// Bytes that are not the beginning of the right answer.
  Wrong,
};

const char *toString(LoadOutcome outcome);

struct LoadRecord {
  std::string Key;
  std::size_t Kind = 0;
  bool Repeatable = true;
  /// Executions of it are counted by the application engines.
  bool Counted = false;
  LoadOutcome Outcome = LoadOutcome::Unknown;
  /// Name of the last refusal; empty for none.
  std::string RefusalName;
  unsigned Sends = 0;
  unsigned Fetches = 0;
};

struct Summary {
  std::uint64_t Requests = 0;
  std::uint64_t Ok = 0;
  std::uint64_t Lost = 0;
  std::uint64_t Doubled = 0;
  std::uint64_t Partial = 0;
  std::uint64_t Wrong = 0;
  std::uint64_t WrongNotRun = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Unknown = 0;

  bool operator==(const Summary &) const = default;
};

using ExecutionCounts = std::map<std::string, std::uint64_t>;

/// Outcome of a request the caller gave up.
LoadOutcome finalOutcome(const CallerState &state);

/// Counts outcomes. With `executions` (key to number of executions), a counted request that is ok
/// but never ran is lost, one that ran more than once is doubled, and one that was refused but ran
/// is a wrong not_run. Without, these three stay 0.
Summary summarise(const std::vector<LoadRecord> &records, const ExecutionCounts *executions);

/// True if an invariant of the system is violated.
bool violates(const Summary &summary);

} // namespace chervil::load

#endif
