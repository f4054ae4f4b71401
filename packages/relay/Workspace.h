// A workspace: the keys of its callers and their rate limit.
#ifndef CHERVIL_RELAY_WORKSPACE_H
#define CHERVIL_RELAY_WORKSPACE_H

#include <optional>
#include <string>
#include <vector>

namespace chervil::relay {

struct Workspace {
  std::string Name;
  std::vector<std::string> Keys;
  /// Priority of its requests; takes precedence over that of the route.
  std::optional<int> Priority;
  /// Rate limit over all nodes, in tokens or requests per second; 0 for none.
  double Rate = 0;
  /// Burst size of the rate limit, in the same unit.
  double Burst = 0;
  /// The rate limit counts tokens instead of requests.
  bool CountsTokens = false;
  /// Tokens charged for a request that does not state its number of tokens.
  double DefaultTokens = 1;
};

} // namespace chervil::relay

#endif
