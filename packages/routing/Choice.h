// The answer of choose() and its explanation for operators.
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
  std::string Backend;
  std::string Address;
  /// Expected completion time.
  Duration Expected{0};
  double ExpectedTokens = 0;
  /// Prompt tokens believed to be in the back end's prefix cache.
  std::uint32_t PrefixTokens = 0;
  /// Priority to state to the engine: short work goes before long work.
  std::uint8_t EnginePriority = 1;
  /// Zero: send now. Otherwise no slot is free for this work: keep the request and choose again
  /// after this time or when a request finishes, whichever is first.
  Duration Wait{0};
};

using ChoiceResult = tl::expected<Choice, ResultCode>;

/// Why a candidate was not used.
enum class Rejection : std::uint8_t {
  No,
  Leaving,
  Dead,
  Ejected,
  Avoided,
  ReservedSlots,
  Isolated,
  WarmingUp
};

struct Candidate {
  std::string Backend;
  Duration Expected{0};
  std::uint32_t PrefixTokens = 0;
  double SlowFactor = 1;
  std::uint32_t Running = 0;
  Rejection Reason = Rejection::None;
};

struct Explanation {
  ChoiceResult Result = tl::make_unexpected(ResultCode::NoBackend);
  /// The back ends that were compared and those that were passed over, in order of examination.
  std::vector<Candidate> Candidates;
};

} // namespace chervil::routing

#endif
