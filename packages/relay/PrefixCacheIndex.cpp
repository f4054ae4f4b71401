#include "relay/PrefixCacheIndex.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chervil::relay {
namespace {

using Holders = std::unordered_map<std::uint64_t, std::vector<std::string>>;

/// Returns true if the server was not known to hold the prefix.
bool add(PrefixCacheIndex &index, std::uint64_t prefix, const std::string &server) {
  Holders &holders = index.OnTrial.contains(server) ? index.TrialHolders : index.Servers;
  const auto known = holders.find(prefix);
  if (known == holders.end()) {
    // Evicts an arbitrary prefix, which costs one more fetch or read. Rejecting new prefixes
    // instead would keep only old ones.
    if (holders.size() >= MaxPrefixes)
      holders.erase(holders.begin());
    holders.emplace(prefix, std::vector<std::string>{server});
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

void removeFrom(Holders &holders, const std::string &server) {
  for (auto it = holders.begin(); it != holders.end();) {
    std::erase(it->second, server);
    it = it->second.empty() ? holders.erase(it) : std::next(it);
  }
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

std::span<const std::string> holdersOf(const PrefixCacheIndex &index, std::uint64_t prefix,
                                       bool onTrial) {
  const Holders &holders = onTrial ? index.TrialHolders : index.Servers;
  const auto it = holders.find(prefix);
  if (it == holders.end())
    return {};
  return it->second;
}

void setOnTrial(PrefixCacheIndex &index, std::set<std::string, std::less<>> servers) {
  if (servers == index.OnTrial)
    return;
  index.OnTrial = std::move(servers);
  // Entries whose server is now on the other side, the least recent reader first.
  std::vector<std::pair<std::uint64_t, std::string>> moved;
  const auto takeFrom = [&](Holders &holders, bool onTrial) {
    for (auto it = holders.begin(); it != holders.end();) {
      for (auto server = it->second.rbegin(); server != it->second.rend(); ++server)
        if (index.OnTrial.contains(*server) != onTrial)
          moved.emplace_back(it->first, *server);
      std::erase_if(it->second,
                    [&](const auto &id) { return index.OnTrial.contains(id) != onTrial; });
      it = it->second.empty() ? holders.erase(it) : std::next(it);
    }
  };
  takeFrom(index.Servers, false);
  takeFrom(index.TrialHolders, true);
  for (const auto &[prefix, server] : moved)
    add(index, prefix, server);
}

void removeServer(PrefixCacheIndex &index, const std::string &server) {
  index.UnsentHolders.erase(server);
  removeFrom(index.Servers, server);
  removeFrom(index.TrialHolders, server);
}

} // namespace chervil::relay
