// Options of the table of request records.
#ifndef CHERVIL_RECORD_OPTIONS_H
#define CHERVIL_RECORD_OPTIONS_H

#include <chrono>
#include <cstddef>

namespace chervil::record {

struct Options {
  /// How long a request key is kept after the last change of its record.
  std::chrono::milliseconds RetryHorizon{std::chrono::minutes(15)};
  /// Largest assumed difference between the wall clocks of callers and nodes.
  std::chrono::milliseconds ClockMargin{2000};
  /// How long the owner waits for the standby to acknowledge a record.
  std::chrono::milliseconds MarkTimeout{500};
  /// A running record without progress for this long is checked with its executor when it is
  /// fetched.
  std::chrono::milliseconds ExecutorSilence{5000};
  /// A table transfer that makes no progress for this long is restarted.
  std::chrono::milliseconds TransferTimeout{1000};
  /// Total size of the finished answers that are kept for replay, in bytes.
  std::size_t AnswerBudget = 64U << 20;
  /// Size of one chunk of a table transfer, in bytes. A chunk ends with the record that reaches it.
  std::size_t ChunkBytes = 256U << 10;
};

} // namespace chervil::record

#endif
