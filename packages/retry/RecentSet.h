// Remembers when keys were last seen, for a bounded number of keys. Use:
//   note(set, key, now);
//   if (const auto at = lastSeen(set, key)) ...
// Keys that have not been seen lately are forgotten.
#ifndef CHERVIL_RETRY_RECENTSET_H
#define CHERVIL_RETRY_RECENTSET_H

#include "base/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>

namespace chervil::retry {

/// Keys in each of the two generations. The older one is dropped when the newer one is full.
inline constexpr std::size_t MaxGenerationKeys = 8192;

struct RecentSet {
  std::unordered_map<std::uint64_t, TimePoint> Newer;
  std::unordered_map<std::uint64_t, TimePoint> Older;
};

inline void note(RecentSet &set, std::uint64_t key, TimePoint at) {
  if (set.Newer.size() >= MaxGenerationKeys && !set.Newer.contains(key))
    set.Older = std::exchange(set.Newer, {});
  set.Newer.insert_or_assign(key, at);
}

inline std::optional<TimePoint> lastSeen(const RecentSet &set, std::uint64_t key) {
  for (const auto *generation : {&set.Newer, &set.Older})
    if (const auto it = generation->find(key); it != generation->end())
      return it->second;
  return std::nullopt;
}

} // namespace chervil::retry

#endif
