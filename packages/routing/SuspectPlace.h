// Places suspects apart from each other without messages between nodes: each node computes the same
// back end for the same suspects, so that the one that crashes its back end meets no other. Use:
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

/// Time until all nodes know the suspects of a crash: crash reports are passed on in four rounds of
/// 200 ms (node/Crashes.cpp).
inline constexpr Duration SuspectPropagationTime = std::chrono::milliseconds(800);
/// Time for which a back end is left to one suspect when there are more suspects than back ends. A
/// crashing request crashes within its first tokens.
inline constexpr Duration SuspectTurnTime = std::chrono::seconds(2);
/// A suspect stops waiting for its back end to become empty after this time, since other nodes go
/// on to send work there.
inline constexpr Duration SuspectMaxWait = std::chrono::seconds(5);

struct SuspectPlace {
  /// Index into the name hashes.
  std::size_t Backend = 0;
  /// Suspects that have this back end before; above 0 only when there are more suspects than back
  /// ends.
  std::size_t Turn = 0;
};

/// Gives each suspect, in order, its best back end by rendezvous hash among those that are not yet
/// taken. `nameHashes` is not empty. One back end more or less moves few suspects, so that nodes
/// whose lists differ for a moment still agree on most.
SuspectPlace placeOfSuspect(const Suspicion &suspicion, std::span<const std::uint64_t> nameHashes);

/// The first moment at which the suspect may run.
TimePoint startOfSuspect(const Suspicion &suspicion, const SuspectPlace &place);

} // namespace chervil::routing

#endif
