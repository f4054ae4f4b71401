// A workload file: customers, kinds of work and their shares. Use:
//   Result<Workload> w = parseWorkload(text);
// JSON, for example:
//   {"name": "norte",
//    "customers": [{"name": "goni", "token": "t-1", "weight": 3}],
//    "kinds": [{"name": "briefing", "type": "model", "model": "redactor", "weight": 2,
//               "stream": true, "prompt_chars": [800, 4000], "tokens": [80, 300],
//               "prefix_chars": 2048, "prefixes": 4},
//              {"name": "booking", "type": "service", "service": "despacho", "weight": 1,
//               "method": "POST", "path": "/bookings", "repeatable": false}]}
#ifndef CHERVIL_CTL_LOAD_WORKLOAD_H
#define CHERVIL_CTL_LOAD_WORKLOAD_H

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::load {

struct WorkCustomer {
  std::string Name;
  std::string Token;
  double Weight = 1;
};

struct Range {
  std::uint32_t Min = 0;
  std::uint32_t Max = 0;
};

struct WorkKind {
  std::string Name;
  bool Service = false;
  double Weight = 1;
  bool Repeatable = true;
  /// Model work. Sizes are drawn uniformly in their logarithm, so that long ones are rare but hold
  /// most of the tokens.
  std::string Model;
  bool Stream = true;
  Range PromptChars{40, 400};
  Range Tokens{16, 64};
  std::uint32_t MaxTokens = 0;
  /// Length of the beginning that prompts of one customer share, and how many such there are.
  std::uint32_t PrefixChars = 0;
  std::uint32_t Prefixes = 1;
  /// Service work. `{id}` in the path is replaced by a number.
  std::string ServiceName;
  std::string Method = "GET";
  std::string Path;
  /// Customers that send this kind; all when empty.
  std::vector<std::string> Customers;
};

struct Workload {
  std::string Name;
  std::vector<WorkCustomer> Customers;
  std::vector<WorkKind> Kinds;
};

/// BadRequest with the member at fault.
Result<Workload> parseWorkload(std::string_view text);

} // namespace chervil::load

#endif
