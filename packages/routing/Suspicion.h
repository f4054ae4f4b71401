// What is known of content that may have crashed a back end. Use:
//   work.Suspect = Suspicion{content, lastDeath, contentsOfEarlierSuspects};
#ifndef CHERVIL_ROUTING_SUSPICION_H
#define CHERVIL_ROUTING_SUSPICION_H

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace chervil::routing {

struct Suspicion {
  std::uint64_t Content = 0;
  /// Latest death of a back end that ran the content.
  TimePoint Since{};
  /// Contents under suspicion since about the same time that precede this one, in an order that is
  /// the same on all nodes.
  std::vector<std::uint64_t> Ahead;
};

} // namespace chervil::routing

#endif
