// What a good caller does after each call of a request. Use:
//   CallerState state{.Repeatable = false, .GiveUpAt = now + 60s};
//   CallerAction a = nextAction(state, end, now, rng);
// Rules: a call that was cut is resumed by its key at another address; a non-repeatable call is
// sent again only after not_run, with its attempt number raised; Retry-After is honoured with
// jitter.
#ifndef CHERVIL_CTL_LOAD_CALLERSTEP_H
#define CHERVIL_CTL_LOAD_CALLERSTEP_H

#include "base/Random.h"
#include "base/Time.h"
#include "ctl/load/Refusal.h"
#include "net/HttpClient.h"

#include <optional>

namespace chervil::load {

struct CallerState {
  bool Repeatable = true;
  TimePoint GiveUpAt;
  unsigned Attempt = 1;
  /// True once any answer showed that the system holds the request.
  bool Accepted = false;
  /// True if a part of the answer arrived.
  bool GotBytes = false;
  /// True if a copy may still run: sent, and neither answered nor closed as not_run.
  bool MayRun = false;
  std::optional<Refusal> LastRefusal;
  /// Previous wait, for decorrelated jitter.
  Duration Backoff{0};
};

/// How one call of the request ended.
struct CallEnd {
  /// The call was GET /v1/requests/{key}, not the request itself.
  bool Fetch = false;
  net::HttpFailure Failure = net::HttpFailure::None;
  int Status = 0;
  /// The whole answer arrived: a body, or a stream with its terminator.
  bool Whole = false;
  /// A part of the answer arrived.
  bool GotBytes = false;
  /// The stream ended with `event: moved`.
  bool Moved = false;
  std::optional<Refusal> Refused;
  /// Header Retry-After.
  std::chrono::milliseconds RetryAfter{0};
};

enum class CallerActionKind : std::uint8_t {
  /// Check the answer.
  Finish,
  /// Send the request again, from its beginning.
  Send,
  /// Ask for the rest of the answer by key.
  Fetch,
  /// Ask for the answer by key from its beginning.
  FetchAll,
  /// No answer will come; see finalOutcome().
  GiveUp,
};

struct CallerAction {
  CallerActionKind Kind = CallerActionKind::GiveUp;
  Duration Wait{0};
};

CallerAction nextAction(CallerState &state, const CallEnd &end, TimePoint now, Random &rng);

} // namespace chervil::load

#endif
