// The list of backend servers as nodes pass it on to each other, so that few of them read it. Use:
//   before = takeListSnapshot(backends); ...apply a reading...
//   send(diffLists(before, takeListSnapshot(backends), revision));
//   if (auto list = applyListDiff(own, news)) use(toEntries(*list));
// Pure. Times that run down (Leaves, WarmUpTime) are no part of what is compared.
#ifndef CHERVIL_RELAY_BACKENDLISTSYNC_H
#define CHERVIL_RELAY_BACKENDLISTSYNC_H

#include "message/BackendListCopy.h"
#include "message/ListNews.h"
#include "relay/Backends.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace chervil::relay {

/// By id in ascending order. Entries that lapsed but may come back are among them.
using BackendListSnapshot = std::vector<message::BackendCopy>;

BackendListSnapshot takeListSnapshot(const Backends &backends);

/// Equal for equal lists, whatever their order.
std::uint64_t listDigest(std::span<const message::BackendCopy> list);

message::ListNews diffLists(const BackendListSnapshot &before, const BackendListSnapshot &after,
                            std::uint64_t revision);

/// `own` after the news; empty if they do not follow from it, so that the whole list is needed.
std::optional<BackendListSnapshot> applyListDiff(const BackendListSnapshot &own,
                                                 const message::ListNews &news);

std::vector<BackendEntry> toEntries(std::span<const message::BackendCopy> list);

} // namespace chervil::relay

#endif
