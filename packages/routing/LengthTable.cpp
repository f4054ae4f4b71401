#include "routing/LengthTable.h"

#include <algorithm>
#include <cmath>

namespace chervil::routing {
namespace {

/// Older observations count less, so that a changed workload shows within about 100 requests.
constexpr float DecayPerObservation = 0.99F;

std::size_t bucketOf(double tokens) {
  const int exponent = tokens < 1 ? 0 : std::ilogb(tokens) + 1;
  return std::min<std::size_t>(static_cast<std::size_t>(exponent), LengthHistogram::Buckets - 1);
}

} // namespace

void observeLength(LengthTable &table, std::uint64_t key, double tokens) {
  auto it = table.ByKey.find(key);
  if (it == table.ByKey.end()) {
    if (table.ByKey.size() >= LengthTable::MaxKeys)
      return;
    it = table.ByKey.try_emplace(key).first;
  }
  LengthHistogram &h = it->second;
  for (std::size_t i = 0; i < LengthHistogram::Buckets; ++i) {
    h.Count[i] *= DecayPerObservation;
    h.Sum[i] *= DecayPerObservation;
  }
  const std::size_t bucket = bucketOf(tokens);
  h.Count[bucket] += 1;
  h.Sum[bucket] += static_cast<float>(tokens);
}

double expectedRemaining(const LengthTable &table, std::uint64_t key, double done,
                         double fallback) {
  const auto it = table.ByKey.find(key);
  if (it == table.ByKey.end())
    return std::max(fallback - done, fallback * 0.5);
  const LengthHistogram &h = it->second;
  double count = 0;
  double sum = 0;
  for (std::size_t i = bucketOf(done); i < LengthHistogram::Buckets; ++i) {
    // A bucket whose mean has been passed says nothing about what is left.
    if (h.Count[i] <= 0 || h.Sum[i] / h.Count[i] <= done)
      continue;
    count += h.Count[i];
    sum += h.Sum[i];
  }
  // Longer than nearly all seen: assume as much again as half of what was done.
  if (count < 0.05)
    return std::max(1.0, done * 0.5);
  return std::max(1.0, sum / count - done);
}

} // namespace chervil::routing
