#include "routing/SuspectPlace.h"

#include "base/Hash.h"

#include <optional>
#include <vector>

namespace chervil::routing {

SuspectPlace placeOfSuspect(const Suspicion &suspicion, std::span<const std::uint64_t> nameHashes) {
  const std::size_t n = nameHashes.size();
  std::vector<bool> taken(n, false);
  // Assigns the best free back end to the content and returns its index.
  const auto take = [&](std::uint64_t content) {
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < n; ++i)
      if (!taken[i] &&
          (!best || mixHashes(content, nameHashes[i]) > mixHashes(content, nameHashes[*best])))
        best = i;
    taken[*best] = true;
    return *best;
  };
  // If there are more suspects than back ends, the assignment restarts with all free for each turn.
  const std::size_t turn = suspicion.Ahead.size() / n;
  for (std::size_t k = turn * n; k < suspicion.Ahead.size(); ++k)
    take(suspicion.Ahead[k]);
  return {take(suspicion.Content), turn};
}

TimePoint startOfSuspect(const Suspicion &suspicion, const SuspectPlace &place) {
  return suspicion.Since + SuspectPropagationTime + static_cast<int>(place.Turn) * SuspectTurnTime;
}

} // namespace chervil::routing
