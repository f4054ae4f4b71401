// Draws requests from a workload. Use:
//   LoadRequest r = drawRequest(workload, rng, keyRng, now.Wall);
#ifndef CHERVIL_CTL_LOAD_GENERATOR_H
#define CHERVIL_CTL_LOAD_GENERATOR_H

#include "base/Random.h"
#include "base/Time.h"
#include "ctl/load/Workload.h"
#include "testing/ExpectedAnswer.h"

#include <string>
#include <string_view>

namespace chervil::load {

struct LoadRequest {
  /// UUID version 7.
  std::string Key;
  std::size_t Customer = 0;
  std::size_t Kind = 0;
  std::string Method;
  /// Path at a node of the system.
  std::string Path;
  /// Path at an engine.
  std::string DirectPath;
  std::string Body;
  /// Model work only.
  testing::ExpectedAnswer Answer;
  /// Service work only: the id that the answer must name.
  std::string Id;
};

/// `rng` decides everything but the key. Keys have a source of their own, because two runs with one
/// seed must not use the same keys.
LoadRequest drawRequest(const Workload &workload, Random &rng, Random &keyRng, WallTime now);

} // namespace chervil::load

#endif
