// Which backend servers hold a shared part of prompts, as far as the nodes know: the two that read
// it last. Use:
//   if (noteHolder(holders, part, "server")) the other nodes learn it by takeNews(holders);
//   for (const std::string &it : holdersOf(holders, part)) ...
// Servers forget parts without notice, so that this is a guess that saves work when it is right.
#ifndef CHERVIL_RELAY_PARTHOLDERS_H
#define CHERVIL_RELAY_PARTHOLDERS_H

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
inline constexpr std::size_t MaxParts = 50'000;
/// Servers remembered for each part. With two, the loss of one leaves a copy that the next server
/// can fetch.
inline constexpr std::size_t MaxHoldersOfPart = 2;

struct PartHolders {
  /// Ids of servers by part, the one that read it last first.
  std::unordered_map<std::uint64_t, std::vector<std::string>> Servers;
  /// Learned by this node and not yet told to the others, by server.
  std::map<std::string, std::vector<std::uint64_t>> News;
};

/// A server has read a part for this node.
void noteHolder(PartHolders &holders, std::uint64_t part, const std::string &server);

/// Another node's news.
void applyNews(PartHolders &holders, const message::HeldParts &news);

/// What other nodes have not been told yet; empties it.
message::HeldParts takeNews(PartHolders &holders);

/// Empty if none is known.
std::span<const std::string> holdersOf(const PartHolders &holders, std::uint64_t part);

/// A server is gone, and its memory with it.
void forgetServer(PartHolders &holders, const std::string &server);

} // namespace chervil::relay

#endif
