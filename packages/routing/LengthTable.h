// Predicts how many tokens a request generates, from earlier requests with the same target,
// customer and kind. Use:
//   observeLength(table, key, 320);
//   double remaining = expectedRemaining(table, key, tokensSoFar, 200);
#ifndef CHERVIL_ROUTING_LENGTHTABLE_H
#define CHERVIL_ROUTING_LENGTHTABLE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace chervil::routing {

/// Histogram of lengths in tokens with exponential decay. Each bucket covers a factor of 2.
struct LengthHistogram {
  static constexpr std::size_t Buckets = 20;
  /// Decayed number of lengths by bucket.
  std::array<float, Buckets> Count{};
  /// Decayed sum of lengths by bucket.
  std::array<float, Buckets> Sum{};
};

struct LengthTable {
  /// Bounds the memory if callers use ever new kinds. Lengths of further keys are not recorded.
  static constexpr std::size_t MaxKeys = 4096;
  /// By hash of target, customer and kind.
  std::unordered_map<std::uint64_t, LengthHistogram> ByKey;
};

/// Records the length of a finished request, in tokens.
void observeLength(LengthTable &table, std::uint64_t key, double tokens);

/// Returns the expected number of further tokens after `done` tokens, given that the request has
/// not ended. `fallback` is the expected length if no length was recorded for the key.
double expectedRemaining(const LengthTable &table, std::uint64_t key, double done, double fallback);

} // namespace chervil::routing

#endif
