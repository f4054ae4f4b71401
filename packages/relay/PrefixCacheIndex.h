// Index of the backend servers that cache a shared prompt prefix: for each prefix, the two that
// read it last. Use:
//   recordHolder(index, prefix, "server");
//   send(takeUnsentHolders(index));   // to the other nodes, which call mergeHolders()
//   for (const std::string &it : holdersOf(index, prefix)) ...
// Servers evict prefixes without notice, so entries are hints: a wrong one only costs the work that
// a right one would have saved.
#ifndef CHERVIL_RELAY_PREFIXCACHEINDEX_H
#define CHERVIL_RELAY_PREFIXCACHEINDEX_H

#include "message/CachedPromptParts.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervil::relay {

/// Prefixes in the index; about 120 bytes each.
inline constexpr std::size_t MaxPrefixes = 50'000;
/// Servers recorded per prefix. With two, a copy that another server can fetch remains if one is
/// lost.
inline constexpr std::size_t MaxHoldersPerPrefix = 2;

/// Known holders of shared prompt prefixes.
struct PrefixCacheIndex {
  /// Ids of the servers by prefix hash, most recent reader first.
  std::unordered_map<std::uint64_t, std::vector<std::string>> Servers;
  /// The same for the servers on trial.
  std::unordered_map<std::uint64_t, std::vector<std::string>> TrialHolders;
  /// Ids of servers of the target of a rollout. They must not displace other holders, which
  /// requests at the old version rely on.
  std::set<std::string, std::less<>> OnTrial;
  /// Hashes of prefixes that this node recorded and has not sent to its peers yet, by server.
  std::map<std::string, std::vector<std::uint64_t>> UnsentHolders;
};

/// Records that a server has read a prefix for a request of this node. If that is new, it is queued
/// for takeUnsentHolders().
void recordHolder(PrefixCacheIndex &index, std::uint64_t prefix, const std::string &server);

/// Merges the holders that another node reported.
void mergeHolders(PrefixCacheIndex &index, const message::CachedPromptParts &reported);

/// Returns the holders that have not been sent to other nodes, and clears them.
message::CachedPromptParts takeUnsentHolders(PrefixCacheIndex &index);

/// Returns the ids of the known holders, most recent first; empty if there are none. Only servers
/// on trial, or only others. Valid until the index changes.
std::span<const std::string> holdersOf(const PrefixCacheIndex &index, std::uint64_t prefix,
                                       bool onTrial = false);

/// Sets which servers are on trial. What is known of a server stays known.
void setOnTrial(PrefixCacheIndex &index, std::set<std::string, std::less<>> servers);

/// Removes a server that has stopped or restarted and therefore lost its cache.
void removeServer(PrefixCacheIndex &index, const std::string &server);

} // namespace chervil::relay

#endif
