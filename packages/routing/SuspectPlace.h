// Assigns suspects (content that may have crashed a back end) to separate back ends without
// messages between nodes. Every node computes the same assignment from the same suspects, so that
// the one that crashes its back end does not take another suspect with it. Use:
//   SuspectPlace place = placeOfSuspect(suspicion, nameHashesOfUsableBackends);
//   if (now >= startOfSuspect(suspicion, place)) ...
#ifndef CHERVIL_ROUTING_SUSPECTPLACE_H
#define CHERVIL_ROUTING_SUSPECTPLACE_H

#include "base/Time.h"
#include "routing/Suspicion.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace chervil::routing {

/// Time until all nodes know the suspects of a crash. Crash reports are propagated in four rounds
/// of 200 ms (node/Crashes.cpp).
inline constexpr Duration SuspectPropagationTime = std::chrono::milliseconds(800);
/// Time for which one suspect has its back end alone when there are more suspects than back ends.
/// It is short because a crashing request crashes the back end within its first tokens.
inline constexpr Duration SuspectTurnTime = std::chrono::seconds(2);
/// Maximum time for which a suspect waits for its back end to become empty. The wait is bounded
/// because other nodes continue to send work there.
inline constexpr Duration SuspectMaxWait = std::chrono::seconds(5);

/// Where and when a suspect runs.
struct SuspectPlace {
  /// Index into the name hashes.
  std::size_t Backend = 0;
  /// Number of suspects that run on this back end earlier; above 0 only if there are more suspects
  /// than back ends.
  std::size_t Turn = 0;
};

/// Assigns each suspect, in order, the back end with the highest rendezvous hash among those that
/// are still free. `nameHashes` must not be empty. Adding or removing one back end moves few
/// suspects, so that nodes whose lists differ for a moment still agree on most of them.
SuspectPlace placeOfSuspect(const Suspicion &suspicion, std::span<const std::uint64_t> nameHashes);

/// Returns the earliest time at which the suspect may run.
TimePoint startOfSuspect(const Suspicion &suspicion, const SuspectPlace &place);

} // namespace chervil::routing

#endif
