// One workspace: who may send requests, and how much.
#ifndef CHERVIL_RELAY_WORKSPACE_H
#define CHERVIL_RELAY_WORKSPACE_H

#include <optional>
#include <string>
#include <vector>

namespace chervil::relay {

struct Workspace {
  std::string Name;
  std::vector<std::string> Keys;
  /// Takes precedence over the route's.
  std::optional<int> Priority;
  /// Limit over all nodes, in tokens or requests per second; 0 for none.
  double Rate = 0;
  double Burst = 0;
  /// The limit counts tokens, not requests.
  bool CountsTokens = false;
  /// Tokens of a request that does not say how many it needs.
  double DefaultTokens = 1;
};

} // namespace chervil::relay

#endif
