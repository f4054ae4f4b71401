#include "relay/PrefixCacheIndex.h"

#include <algorithm>
#include <iterator>

namespace chervil::relay {
namespace {

/// Returns true if the server was not known to hold the part.
bool add(PrefixCacheIndex &holders, std::uint64_t part, const std::string &server) {
  const auto known = holders.Servers.find(part);
  if (known == holders.Servers.end()) {
    // Any part may go: it is fetched or read once more. Refusing new ones would keep only old ones.
    if (holders.Servers.size() >= MaxPrefixes)
      holders.Servers.erase(holders.Servers.begin());
    holders.Servers.emplace(part, std::vector<std::string>{server});
    return true;
  }
  std::vector<std::string> &servers = known->second;
  const auto it = std::ranges::find(servers, server);
  if (it != servers.end()) {
    std::rotate(servers.begin(), it, it + 1);
    return false;
  }
  servers.insert(servers.begin(), server);
  if (servers.size() > MaxHoldersPerPrefix)
    servers.pop_back();
  return true;
}

} // namespace

void recordHolder(PrefixCacheIndex &holders, std::uint64_t part, const std::string &server) {
  if (add(holders, part, server))
    holders.UnsentHolders[server].push_back(part);
}

void mergeHeldParts(PrefixCacheIndex &holders, const message::HeldParts &news) {
  for (const message::ServerParts &it : news.Servers)
    for (const std::uint64_t part : it.Parts)
      add(holders, part, it.Backend);
}

message::HeldParts takeUnsentHolders(PrefixCacheIndex &holders) {
  message::HeldParts out;
  for (auto &[server, parts] : holders.UnsentHolders)
    out.Servers.push_back({server, std::move(parts)});
  holders.UnsentHolders.clear();
  return out;
}

std::span<const std::string> holdersOf(const PrefixCacheIndex &holders, std::uint64_t part) {
  const auto it = holders.Servers.find(part);
  if (it == holders.Servers.end())
    return {};
  return it->second;
}

void removeServer(PrefixCacheIndex &holders, const std::string &server) {
  holders.UnsentHolders.erase(server);
  for (auto it = holders.Servers.begin(); it != holders.Servers.end();) {
    std::erase(it->second, server);
    it = it->second.empty() ? holders.Servers.erase(it) : std::next(it);
  }
}

} // namespace chervil::relay
