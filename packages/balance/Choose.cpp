#include "balance/Choose.h"

#include <algorithm>
#include <array>
#include <optional>
#include <vector>

namespace chervil::balance {
namespace {

// Discounts of the servers with the highest ranks. That of the first keeps a prefix that is read
// for the first time in one place, also if the nodes do not know yet that it is there.
constexpr std::array<double, HomesPerPrefix> HomeDiscounts = {0.5, 0.3, 0.2};
// Error of the wait at a home as a fraction of what a server reads while the reports age. With a
// smaller one all nodes leave and enter a home at the same moment; with a larger one they leave it
// without need, and prefixes are fetched more often.
constexpr double HomeError = 0.7;

double totalOf(const Candidate &it) { return it.Wait + it.Cost; }

std::size_t lowestTotal(std::span<const Candidate> candidates) {
  return static_cast<std::size_t>(std::ranges::min_element(candidates, {}, totalOf) -
                                  candidates.begin());
}

/// Picks a candidate that is not a home and whose wait is below the level, with a probability in
/// proportion to the tokens that it takes up to the level. Empty if there is none.
std::optional<std::size_t> pickByRoom(std::span<const Candidate> candidates, double level,
                                      Random &rng) {
  const auto roomOf = [&](const Candidate &it) {
    return it.IsHome ? 0 : std::max(0.0, level - it.Wait) / it.SpeedFactor;
  };
  double room = 0;
  for (const Candidate &it : candidates)
    room += roomOf(it);
  if (room <= 0)
    return std::nullopt;
  double at = std::uniform_real_distribution<double>(0, room)(rng);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    at -= roomOf(candidates[i]);
    if (at < 0)
      return i;
  }
  return std::nullopt;
}

} // namespace

double homeDiscount(std::size_t rank, const Outlook &outlook) {
  const std::size_t homes = outlook.SentSinceReports > 0 ? HomesPerPrefix : 1;
  return rank < homes ? HomeDiscounts.at(rank) : 0;
}

double fillLevel(std::span<const Candidate> candidates, double volume) {
  std::vector<const Candidate *> byWait;
  byWait.reserve(candidates.size());
  for (const Candidate &it : candidates)
    byWait.push_back(&it);
  std::ranges::sort(byWait, {}, [](const Candidate *it) { return it->Wait; });
  double speed = 0;
  double held = volume;
  double level = 0;
  for (const Candidate *it : byWait) {
    if (speed > 0 && level <= it->Wait)
      break;
    speed += 1 / it->SpeedFactor;
    held += it->Wait / it->SpeedFactor;
    level = held / speed;
  }
  return level;
}

std::size_t chooseCandidate(std::span<const Candidate> candidates, const Outlook &outlook,
                            Random &rng) {
  if (outlook.SentSinceReports <= 0)
    return lowestTotal(candidates);
  const double level = fillLevel(candidates, outlook.SentSinceReports);
  std::size_t best = pickByRoom(candidates, level, rng).value_or(lowestTotal(candidates));
  double bestTotal = totalOf(candidates[best]);
  const double error = HomeError * outlook.ReadSinceReports;
  std::uniform_real_distribution<double> deviation(-error, error);
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!candidates[i].IsHome)
      continue;
    const double total = totalOf(candidates[i]) + deviation(rng);
    if (total < bestTotal) {
      best = i;
      bestTotal = total;
    }
  }
  return best;
}

} // namespace chervil::balance
