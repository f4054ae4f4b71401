// What is known about a call to a platform service or engine. Use:
//   kvPut(client, key, value, revision, {}, [](const CallResult<std::uint64_t> &r) {
//     if (r.Outcome == CallOutcome::Unknown) ...read the key to find out...
//   });
#ifndef CHERVIL_PLATFORM_CALLRESULT_H
#define CHERVIL_PLATFORM_CALLRESULT_H

#include <chrono>
#include <cstdint>
#include <string>

namespace chervil::platform {

enum class CallOutcome : std::uint8_t {
  Done,
  NotFound,
  /// The precondition did not hold: a compare-and-swap on another revision, an old fencing number.
  Conflict,
  /// The service answered that it did not do it.
  Refused,
  /// The service cannot have seen the call.
  NotSent,
  /// Sent, but not answered, or not in a form that says what happened (5xx, malformed body). Must
  /// be resolved by reading.
  Unknown,
};

template <typename T> struct CallResult {
  CallOutcome Outcome = CallOutcome::Unknown;
  /// Valid when Done; after a conflict in kvPut() and kvDelete(), the current revision (0 if not
  /// stated).
  T Value{};
  /// HTTP status; 0 without an answer.
  int Status = 0;
  std::string Error;
  /// Stated by the service with a refusal; 0 if not.
  std::chrono::seconds RetryAfter{0};
};

} // namespace chervil::platform

#endif
