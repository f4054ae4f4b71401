// Options of the request record table.
#ifndef CHERVIL_RECORD_OPTIONS_H
#define CHERVIL_RECORD_OPTIONS_H

#include <chrono>
#include <cstddef>

namespace chervil::record {

struct Options {
  /// How long a key is remembered after its record last changed.
  std::chrono::milliseconds RetryHorizon{std::chrono::minutes(15)};
  /// Bound on the difference between the wall clocks of callers and nodes.
  std::chrono::milliseconds ClockMargin{2000};
  /// How long the owner waits for the standby's acknowledgement.
  std::chrono::milliseconds MarkTimeout{500};
  /// How long until a table transfer that made no progress is started again.
  std::chrono::milliseconds TransferTimeout{1000};
  /// Bytes of finished answers kept for replay.
  std::size_t AnswerBudget = 64U << 20;
  /// Bytes of records in one chunk of a table transfer.
  std::size_t ChunkBytes = 256U << 10;
};

} // namespace chervil::record

#endif
