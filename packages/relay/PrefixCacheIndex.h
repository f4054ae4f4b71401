// Which backend servers hold a shared part of prompts, as far as the nodes know: the two that read
// it last. Use:
//   if (recordHolder(holders, part, "server")) the other nodes learn it by
//   takeUnsentHolders(holders); for (const std::string &it : holdersOf(holders, part)) ...
// Servers forget parts without notice, so that this is a guess that saves work when it is right.
#ifndef CHERVIL_RELAY_PREFIXCACHEINDEX_H
#define CHERVIL_RELAY_PREFIXCACHEINDEX_H

#include "message/HeldParts.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervil::relay {

/// Parts remembered; about 120 bytes each.
inline constexpr std::size_t MaxPrefixes = 50'000;
/// Servers remembered for each part. With two, the loss of one leaves a copy that the next server
/// can fetch.
inline constexpr std::size_t MaxHoldersPerPrefix = 2;

struct PrefixCacheIndex {
  /// Ids of servers by part, the one that read it last first.
  std::unordered_map<std::uint64_t, std::vector<std::string>> Servers;
  /// Learned by this node and not yet told to the others, by server.
  std::map<std::string, std::vector<std::uint64_t>> UnsentHolders;
};

/// A server has read a part for this node.
void recordHolder(PrefixCacheIndex &holders, std::uint64_t part, const std::string &server);

/// Another node's news.
void mergeHeldParts(PrefixCacheIndex &holders, const message::HeldParts &news);

/// What other nodes have not been told yet; empties it.
message::HeldParts takeUnsentHolders(PrefixCacheIndex &holders);

/// Empty if none is known.
std::span<const std::string> holdersOf(const PrefixCacheIndex &holders, std::uint64_t part);

/// A server is gone, and its memory with it.
void removeServer(PrefixCacheIndex &holders, const std::string &server);

} // namespace chervil::relay

#endif
