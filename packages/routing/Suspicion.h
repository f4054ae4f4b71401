// Describes request content that may have crashed a back end (a suspect). Use:
//   work.Suspect = Suspicion{content, lastDeath, contentsOfEarlierSuspects};
#ifndef CHERVIL_ROUTING_SUSPICION_H
#define CHERVIL_ROUTING_SUSPICION_H

#include "base/Time.h"

#include <cstdint>
#include <vector>

namespace chervil::routing {

struct Suspicion {
  /// Hash of the content.
  std::uint64_t Content = 0;
  /// When the last back end that ran the content died.
  TimePoint Since{};
  /// Hashes of the suspects from about the same time that come before this one, in an order that is
  /// the same on all nodes.
  std::vector<std::uint64_t> Ahead;
};

} // namespace chervil::routing

#endif
