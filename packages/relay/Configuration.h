// What operators configure for requests that belong to the node that took them: routes, services
// and workspaces. Use:
//   auto configuration = std::make_shared<const Configuration>(indexed(std::move(parsed)));
//   const Route *route = findRoute(*configuration, host, path);
#ifndef CHERVIL_RELAY_CONFIGURATION_H
#define CHERVIL_RELAY_CONFIGURATION_H

#include "relay/Route.h"
#include "relay/Service.h"
#include "relay/Workspace.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervil::relay {

/// Bounds on what a caller may send, and on the time it may take.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = std::uint64_t{4} << 20U;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, Service> Services;
  std::vector<Workspace> Workspaces;
  CallerLimits Limits;
  /// Indexes of Routes by host, longest prefix first; filled by indexed().
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  /// Indexes of Workspaces by key; filled by indexed().
  std::unordered_map<std::string, std::size_t> WorkspaceByKey;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Fills the indexes.
Configuration buildIndexes(Configuration configuration);

/// The route with the longest prefix among those of the host; null when none matches. The host is
/// compared without its port and without regard to case.
const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view path);

/// Null for an unknown key.
const Workspace *findWorkspaceByKey(const Configuration &configuration, const std::string &key);

/// Null when the configuration has no such workspace.
const Workspace *findWorkspaceByName(const Configuration &configuration, std::string_view name);

} // namespace chervil::relay

#endif
