// Prefix cache of an engine: blocks of prompt text, least recently used first out. Use:
//   std::uint32_t tokens = touchPrefix(cache, chain);   // tokens found
//   storePrefix(cache, chain);
#ifndef CHERVIL_TESTING_STANDIN_PREFIXCACHE_H
#define CHERVIL_TESTING_STANDIN_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chervil::standin {

constexpr std::size_t CacheBlockBytes = 256;
constexpr std::uint32_t CacheBlockTokens = 64;

struct CacheBlock {
  std::uint64_t Hash = 0;
  /// Length of the chain up to and including this block.
  std::uint32_t Tokens = 0;
};

struct CacheChange {
  bool Added = false;
  CacheBlock Block;
};

struct PrefixCache {
  std::size_t MaxBlocks = 0;
  /// Most recently used first.
  std::list<CacheBlock> Blocks;
  std::unordered_map<std::uint64_t, std::list<CacheBlock>::iterator> ByHash;
  /// Changes not yet taken by the owner of the cache.
  std::vector<CacheChange> Changes;
};

/// Hash chain of the whole blocks of a prompt (docs/platform.md, section 5.2).
std::vector<CacheBlock> prefixChain(std::string_view model, std::string_view prompt);

/// Tokens of the longest cached prefix, which becomes the most recently used.
std::uint32_t touchPrefix(PrefixCache &cache, const std::vector<CacheBlock> &chain);

void storePrefix(PrefixCache &cache, const std::vector<CacheBlock> &chain);

} // namespace chervil::standin

#endif
