// State of a request record.
#ifndef CHERVIL_MESSAGE_RECORDSTATE_H
#define CHERVIL_MESSAGE_RECORDSTATE_H

#include <cstdint>

namespace chervil::message {

enum class RecordState : std::uint8_t {
  /// Granted to an executor; for work that may not be repeated this is the mark "may have run".
  Running,
  /// The whole answer, or a refusal by the back end, is known.
  Finished,
  /// May have run; will not run again.
  Unknown,
  /// Attempts up to the record's number did not run and never will; a higher attempt may.
  Closed,
};

} // namespace chervil::message

#endif
