#include "relay/PrefixCacheIndex.h"

#include <algorithm>
#include <iterator>

namespace chervil::relay {
namespace {

/// Returns true if the server was not known to hold the prefix.
bool add(PrefixCacheIndex &index, std::uint64_t prefix, const std::string &server) {
  const auto known = index.Servers.find(prefix);
  if (known == index.Servers.end()) {
    // Evicts an arbitrary prefix, which costs one more fetch or read. Rejecting new prefixes
    // instead would keep only old ones.
    if (index.Servers.size() >= MaxPrefixes)
      index.Servers.erase(index.Servers.begin());
    index.Servers.emplace(prefix, std::vector<std::string>{server});
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

void recordHolder(PrefixCacheIndex &index, std::uint64_t prefix, const std::string &server) {
  if (add(index, prefix, server))
    index.UnsentHolders[server].push_back(prefix);
}

void mergeHolders(PrefixCacheIndex &index, const message::CachedPromptParts &reported) {
  for (const message::BackendPromptParts &it : reported.Servers)
    for (const std::uint64_t prefix : it.Parts)
      add(index, prefix, it.Backend);
}

message::CachedPromptParts takeUnsentHolders(PrefixCacheIndex &index) {
  message::CachedPromptParts out;
  for (auto &[server, prefixes] : index.UnsentHolders)
    out.Servers.push_back({server, std::move(prefixes)});
  index.UnsentHolders.clear();
  return out;
}

std::span<const std::string> holdersOf(const PrefixCacheIndex &index, std::uint64_t prefix) {
  const auto it = index.Servers.find(prefix);
  if (it == index.Servers.end())
    return {};
  return it->second;
}

void removeServer(PrefixCacheIndex &index, const std::string &server) {
  index.UnsentHolders.erase(server);
  for (auto it = index.Servers.begin(); it != index.Servers.end();) {
    std::erase(it->second, server);
    it = it->second.empty() ? index.Servers.erase(it) : std::next(it);
  }
}

} // namespace chervil::relay
