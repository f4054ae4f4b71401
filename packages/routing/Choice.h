// The result of choose(), and the explanation of it for operators.
#ifndef CHERVIL_ROUTING_CHOICE_H
#define CHERVIL_ROUTING_CHOICE_H

#include "base/ResultCode.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace chervil::routing {

struct Choice {
  /// Name of the back end.
  std::string Backend;
  /// host:port.
  std::string Address;
  /// Expected completion time.
  Duration Expected{0};
  /// Tokens that the work is expected to generate.
  double ExpectedTokens = 0;
  /// Prompt tokens believed to be in the back end's prefix cache.
  std::uint32_t PrefixTokens = 0;
  /// Priority to pass to the engine; 0 is most urgent. Short work gets a lower number than long
  /// work.
  std::uint8_t EnginePriority = 1;
  /// Zero means send now. Otherwise the back end cannot take this work yet: keep the request and
  /// call choose() again after this time or when a request finishes, whichever is first.
  Duration Wait{0};
};

using ChoiceResult = tl::expected<Choice, ResultCode>;

/// Why a back end was rejected for a request.
enum class Rejection : std::uint8_t {
  /// Not rejected.
  None,
  Leaving,
  Dead,
  Ejected,
  /// Named in WorkRequest::Avoid.
  Avoided,
  /// The work is long, and the free slots are reserved for short work.
  ReservedSlots,
  /// Runs a suspect, or is kept free for one.
  Isolated,
  WarmingUp
};

/// A back end that was evaluated, with the figures that were used.
struct Candidate {
  std::string Backend;
  Duration Expected{0};
  std::uint32_t PrefixTokens = 0;
  /// Observed time over normal time.
  double SlowFactor = 1;
  /// Requests running there, of all nodes.
  std::uint32_t Running = 0;
  Rejection Reason = Rejection::None;
};

struct Explanation {
  ChoiceResult Result = tl::make_unexpected(ResultCode::NoBackend);
  /// All back ends that were evaluated, rejected ones included, in the order of evaluation.
  std::vector<Candidate> Candidates;
};

} // namespace chervil::routing

#endif
