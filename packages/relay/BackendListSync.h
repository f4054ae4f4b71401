// Synchronises the list of backend servers between nodes, so that only few nodes read it from the
// store. Use:
//   before = takeListSnapshot(backends); ...apply a new list...
//   send(diffLists(before, takeListSnapshot(backends), revision));
//   if (auto list = applyListDiff(own, diff)) use(toEntries(*list));
// Does no I/O. Remaining times (Leaves, WarmUpTime) change constantly and are not compared.
#ifndef CHERVIL_RELAY_BACKENDLISTSYNC_H
#define CHERVIL_RELAY_BACKENDLISTSYNC_H

#include "message/BackendListCopy.h"
#include "message/BackendListDelta.h"
#include "relay/Backends.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace chervil::relay {

/// Entries in ascending order of their ids, including expired entries that may return.
using BackendListSnapshot = std::vector<message::BackendCopy>;

/// Returns the current list without servers that were removed from it.
BackendListSnapshot takeListSnapshot(const Backends &backends);

/// Returns the departures of these servers that are known, which are sent with the list.
std::vector<message::BackendDeparture>
departuresOf(const Backends &backends, std::span<const message::BackendCopy> list, const Now &now);

/// Returns a hash of the list that does not depend on its order or on remaining times.
std::uint64_t listDigest(std::span<const message::BackendCopy> list);

/// Returns the changes that lead from `before` to `after`, with the digests of both.
message::BackendListDelta diffLists(const BackendListSnapshot &before,
                                    const BackendListSnapshot &after, std::uint64_t revision);

/// Returns `own` with the changes applied; empty if the diff is not based on `own`, in which case
/// the complete list is needed.
std::optional<BackendListSnapshot> applyListDiff(const BackendListSnapshot &own,
                                                 const message::BackendListDelta &diff);

/// Converts a received list for applyList(). WarmUpTime is not transmitted and is 0.
std::vector<BackendEntry> toEntries(std::span<const message::BackendCopy> list);

} // namespace chervil::relay

#endif
