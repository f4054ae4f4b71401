// The JSON of a refusal (docs/design.md, section 14). Use:
//   if (auto r = parseRefusal(body); r && r->Result == Outcome::NotRun) ...
#ifndef CHERVIL_CTL_LOAD_REFUSAL_H
#define CHERVIL_CTL_LOAD_REFUSAL_H

#include "base/Outcome.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::load {

struct Refusal {
  int Code = 0;
  std::string Name;
  Outcome Result = Outcome::Unknown;
  bool Retry = false;
  std::chrono::milliseconds RetryAfter{0};
};

/// Nothing unless the text has the shape of a refusal. An outcome that is not stated counts as
/// unknown.
std::optional<Refusal> parseRefusal(std::string_view text);

} // namespace chervil::load

#endif
