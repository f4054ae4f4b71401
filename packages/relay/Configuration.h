// Configuration of request handling: routes, services and workspaces. Use:
//   auto configuration = std::make_shared<const Configuration>(buildIndexes(std::move(parsed)));
//   const Route *route = findRoute(*configuration, host, path);
// For requests that are handled entirely by the node that accepted them.
#ifndef CHERVIL_RELAY_CONFIGURATION_H
#define CHERVIL_RELAY_CONFIGURATION_H

#include "base/Time.h"
#include "relay/Route.h"
#include "relay/Service.h"
#include "relay/Workspace.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervil::relay {

/// Limits on the size of requests, and on the time callers may take to send them.
struct CallerLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = std::uint64_t{4} << 20U;
  std::chrono::milliseconds HeaderTimeout{3000};
  std::chrono::milliseconds IdleTimeout{15000};
};

/// One version of the configuration; immutable once it is in force.
struct Configuration {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<std::string, Service> Services;
  std::vector<Workspace> Workspaces;
  CallerLimits Limits;
  /// Indexes into Routes by host, longest prefix first; filled by buildIndexes().
  std::unordered_map<std::string, std::vector<std::size_t>> RoutesByHost;
  /// Indexes into Workspaces by key; filled by buildIndexes().
  std::unordered_map<std::string, std::size_t> WorkspaceByKey;
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

/// Where the configuration in force came from and how fresh it is.
struct ConfigurationStatus {
  /// "store", or "peer" if another node sent it.
  std::string Source;
  TimePoint InForceSince{};
  /// Last time at which it was known to be the newest version; empty if that was never known.
  std::optional<TimePoint> NewestAt;
};

/// Returns the configuration with RoutesByHost and WorkspaceByKey filled.
Configuration buildIndexes(Configuration configuration);

/// Returns the route of the host with the longest matching path prefix; null if none matches. The
/// port and the case of the host are ignored. The result is owned by `configuration`.
const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view path);

/// Returns the workspace to which the key belongs; null if the key is unknown.
const Workspace *findWorkspaceByKey(const Configuration &configuration, const std::string &key);

/// Returns the workspace with this name; null if there is none.
const Workspace *findWorkspaceByName(const Configuration &configuration, std::string_view name);

} // namespace chervil::relay

#endif
