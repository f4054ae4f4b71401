#include "relay/Configuration.h"

#include <algorithm>
#include <cctype>

namespace chervil::relay {
namespace {

/// Returns the host in lower case and without its port.
std::string normalizeHost(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::ranges::transform(out, out.begin(),
                         [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

} // namespace

Configuration buildIndexes(Configuration configuration) {
  configuration.RoutesByHost.clear();
  configuration.WorkspaceByKey.clear();
  for (std::size_t i = 0; i < configuration.Routes.size(); ++i)
    configuration.RoutesByHost[normalizeHost(configuration.Routes[i].Host)].push_back(i);
  for (auto &[host, routes] : configuration.RoutesByHost)
    std::ranges::stable_sort(routes, [&](std::size_t a, std::size_t b) {
      return configuration.Routes[a].PathPrefix.size() > configuration.Routes[b].PathPrefix.size();
    });
  for (std::size_t i = 0; i < configuration.Workspaces.size(); ++i)
    for (const std::string &key : configuration.Workspaces[i].Keys)
      configuration.WorkspaceByKey.emplace(key, i);
  return configuration;
}

const Route *findRoute(const Configuration &configuration, std::string_view host,
                       std::string_view path) {
  const auto it = configuration.RoutesByHost.find(normalizeHost(host));
  if (it == configuration.RoutesByHost.end())
    return nullptr;
  for (const std::size_t i : it->second)
    if (path.starts_with(configuration.Routes[i].PathPrefix))
      return &configuration.Routes[i];
  return nullptr;
}

const Workspace *findWorkspaceByKey(const Configuration &configuration, const std::string &key) {
  const auto it = configuration.WorkspaceByKey.find(key);
  return it == configuration.WorkspaceByKey.end() ? nullptr : &configuration.Workspaces[it->second];
}

const Workspace *findWorkspaceByName(const Configuration &configuration, std::string_view name) {
  for (const Workspace &it : configuration.Workspaces)
    if (it.Name == name)
      return &it;
  return nullptr;
}

} // namespace chervil::relay
