#include "routing/PrefixMap.h"

#include <algorithm>

namespace chervil::routing {
namespace {

std::uint32_t generationOf(const PrefixMap &map, std::uint32_t backend) {
  return backend < map.Generations.size() ? map.Generations[backend] : 0;
}

bool isCurrent(const PrefixMap &map, const PrefixHolder &holder) {
  return holder.Generation == generationOf(map, holder.Backend);
}

void removeHolder(PrefixMap &map, std::uint64_t hash, const PrefixHolder &holder) {
  const auto it = map.Holders.find(hash);
  if (it == map.Holders.end())
    return;
  std::erase(it->second, holder);
  if (it->second.empty())
    map.Holders.erase(it);
}

} // namespace

void addBlock(PrefixMap &map, std::uint64_t hash, std::uint32_t backend) {
  const PrefixHolder holder{backend, generationOf(map, backend)};
  auto &holders = map.Holders[hash];
  std::erase_if(holders, [&](const PrefixHolder &it) { return !isCurrent(map, it); });
  if (std::ranges::find(holders, holder) != holders.end())
    return;
  holders.push_back(holder);
  map.Order.emplace_back(hash, holder);
  while (map.Order.size() > map.Capacity) {
    const auto [oldHash, oldHolder] = map.Order.front();
    map.Order.pop_front();
    removeHolder(map, oldHash, oldHolder);
  }
}

void removeBlock(PrefixMap &map, std::uint64_t hash, std::uint32_t backend) {
  removeHolder(map, hash, {backend, generationOf(map, backend)});
}

void removeBackend(PrefixMap &map, std::uint32_t backend) {
  if (backend >= map.Generations.size())
    map.Generations.resize(backend + 1, 0);
  ++map.Generations[backend];
}

std::size_t cachedDepth(const PrefixMap &map, std::span<const std::uint64_t> chain,
                        std::uint32_t backend) {
  const PrefixHolder holder{backend, generationOf(map, backend)};
  std::size_t lo = 0;
  std::size_t hi = chain.size();
  while (lo < hi) {
    const std::size_t mid = lo + (hi - lo) / 2;
    const auto it = map.Holders.find(chain[mid]);
    if (it != map.Holders.end() && std::ranges::find(it->second, holder) != it->second.end())
      lo = mid + 1;
    else
      hi = mid;
  }
  return lo;
}

std::vector<std::uint32_t> deepestHolders(const PrefixMap &map,
                                          std::span<const std::uint64_t> chain) {
  const std::vector<PrefixHolder> *deepest = nullptr;
  std::size_t lo = 0;
  std::size_t hi = chain.size();
  while (lo < hi) {
    const std::size_t mid = lo + (hi - lo) / 2;
    const auto it = map.Holders.find(chain[mid]);
    const bool held =
        it != map.Holders.end() &&
        std::ranges::any_of(it->second, [&](const PrefixHolder &h) { return isCurrent(map, h); });
    if (held) {
      deepest = &it->second;
      lo = mid + 1;
    } else {
      hi = mid;
    }
  }
  std::vector<std::uint32_t> found;
  if (deepest != nullptr)
    for (const PrefixHolder &holder : *deepest)
      if (isCurrent(map, holder))
        found.push_back(holder.Backend);
  return found;
}

} // namespace chervil::routing
