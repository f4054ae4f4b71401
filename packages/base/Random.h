// The seeded random source that is passed into decision code. Use:
//   std::uniform_int_distribution<std::size_t> pick(0, n - 1);
//   auto i = pick(rng);
#ifndef CHERVIL_BASE_RANDOM_H
#define CHERVIL_BASE_RANDOM_H

#include <random>

namespace chervil {

using Random = std::mt19937_64;

} // namespace chervil

#endif
