// What a refusal says about the execution of the request. Use:
//   if (info(code).Result == Outcome::NotRun) ...
#ifndef CHERVIL_BASE_OUTCOME_H
#define CHERVIL_BASE_OUTCOME_H

#include <cstdint>

namespace chervil {

enum class Outcome : std::uint8_t {
  /// The request did not run, and no late copy of this attempt will run.
  NotRun,
  /// The request may or may not have run; it will not run from now on.
  Unknown,
  /// The request ran.
  Ran,
};

/// Name used in refusals: "not_run", "unknown" or "ran".
constexpr const char *toString(Outcome outcome) {
  switch (outcome) {
  case Outcome::NotRun:
    return "not_run";
  case Outcome::Unknown:
    return "unknown";
  case Outcome::Ran:
    return "ran";
  }
  return "unknown";
}

} // namespace chervil

#endif
