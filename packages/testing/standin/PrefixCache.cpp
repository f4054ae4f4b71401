#include "testing/standin/PrefixCache.h"

#include "base/Hash.h"

#include <algorithm>

namespace chervil::standin {

std::vector<CacheBlock> prefixChain(std::string_view model, std::string_view prompt) {
  std::vector<CacheBlock> chain;
  chain.reserve(prompt.size() / CacheBlockBytes);
  std::uint64_t hash = hashBytes(model);
  std::uint32_t tokens = 0;
  for (; prompt.size() >= CacheBlockBytes; prompt.remove_prefix(CacheBlockBytes)) {
    hash = hashBytes(prompt.substr(0, CacheBlockBytes), hash);
    tokens += CacheBlockTokens;
    chain.push_back({hash, tokens});
  }
  return chain;
}

std::uint32_t touchPrefix(PrefixCache &cache, const std::vector<CacheBlock> &chain) {
  std::size_t found = 0;
  while (found < chain.size() && cache.ByHash.contains(chain[found].Hash))
    ++found;
  // The beginning of a chain is to outlive its end, which is useless without it.
  for (std::size_t i = found; i-- > 0;)
    cache.Blocks.splice(cache.Blocks.begin(), cache.Blocks, cache.ByHash.at(chain[i].Hash));
  return static_cast<std::uint32_t>(found) * CacheBlockTokens;
}

void storePrefix(PrefixCache &cache, const std::vector<CacheBlock> &chain) {
  const std::size_t n = std::min(chain.size(), cache.MaxBlocks);
  for (std::size_t i = n; i-- > 0;) {
    if (const auto it = cache.ByHash.find(chain[i].Hash); it != cache.ByHash.end()) {
      cache.Blocks.splice(cache.Blocks.begin(), cache.Blocks, it->second);
      continue;
    }
    cache.Blocks.push_front(chain[i]);
    cache.ByHash[chain[i].Hash] = cache.Blocks.begin();
    cache.Changes.push_back({true, chain[i]});
  }
  while (cache.Blocks.size() > cache.MaxBlocks) {
    cache.Changes.push_back({false, cache.Blocks.back()});
    cache.ByHash.erase(cache.Blocks.back().Hash);
    cache.Blocks.pop_back();
  }
}

} // namespace chervil::standin
