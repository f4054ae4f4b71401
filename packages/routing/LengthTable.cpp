#include "routing/LengthTable.h"

#include <algorithm>
#include <cmath>

namespace chervil::routing {
namespace {

/// Factor on the weight of older lengths with each new one. The prediction follows a change of the
/// workload within about 100 requests.
constexpr float DecayPerObservation = 0.99F;
/// Below this decayed number of longer requests the histogram gives no prediction.
constexpr double MinLongerRequests = 0.05;

/// Returns the bucket of a length: 0 below one token, n for [2^(n-1), 2^n).
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
    // A bucket whose mean is already exceeded does not predict the remaining length.
    if (h.Count[i] <= 0 || h.Sum[i] / h.Count[i] <= done)
      continue;
    count += h.Count[i];
    sum += h.Sum[i];
  }
  // Longer than nearly all earlier requests: assume another half of the length so far.
  if (count < MinLongerRequests)
    return std::max(1.0, done * 0.5);
  return std::max(1.0, sum / count - done);
}

} // namespace chervil::routing
