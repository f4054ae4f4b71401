// State of a request record.
#ifndef CHERVIL_MESSAGE_RECORDSTATE_H
#define CHERVIL_MESSAGE_RECORDSTATE_H

#include <cstdint>

namespace chervil::message {

enum class RecordState : std::uint8_t {
  /// Granted to an executor. For a non-repeatable request, this is the mark "may have run".
  Running,
  /// The complete answer, or a refusal by the back end, is known.
  Finished,
  /// The request may have run and will not run again.
  Unknown,
  /// Attempts up to the record's attempt number did not run and never will. An attempt with a
  /// higher number may run.
  Closed,
};

} // namespace chervil::message

#endif
