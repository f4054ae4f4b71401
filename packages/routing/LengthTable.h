// Predicts how many tokens a request generates, by customer and kind. Use:
//   observeLength(table, key, 320);
//   double left = expectedRemaining(table, key, tokensSoFar, 200);
#ifndef CHERVIL_ROUTING_LENGTHTABLE_H
#define CHERVIL_ROUTING_LENGTHTABLE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace chervil::routing {

/// Decayed histogram of lengths in buckets of a factor of 2.
struct LengthHistogram {
  static constexpr std::size_t Buckets = 20;
  std::array<float, Buckets> Count{};
  std::array<float, Buckets> Sum{};
};

struct LengthTable {
  /// Bounds memory against callers that invent kinds; further keys share the default.
  static constexpr std::size_t MaxKeys = 4096;
  std::unordered_map<std::uint64_t, LengthHistogram> ByKey;
};

void observeLength(LengthTable &table, std::uint64_t key, double tokens);

/// Expected tokens still to come after `done`, given that the request has not ended;
/// `fallback` is the expected length while nothing was observed for the key.
double expectedRemaining(const LengthTable &table, std::uint64_t key, double done, double fallback);

} // namespace chervil::routing

#endif
