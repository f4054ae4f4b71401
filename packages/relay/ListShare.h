// The list of backend servers as nodes pass it on to each other, so that few of them read it. Use:
//   before = sharedList(backends); ...apply a reading...
//   send(listNews(before, sharedList(backends), revision));
//   if (auto list = applyListNews(own, news)) use(entriesOf(*list));
// Pure. Times that run down (Leaves, ColdFor) are no part of what is compared.
#ifndef CHERVIL_RELAY_LISTSHARE_H
#define CHERVIL_RELAY_LISTSHARE_H

#include "message/BackendListCopy.h"
#include "message/ListNews.h"
#include "relay/Backends.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace chervil::relay {

/// By id in ascending order. Entries that lapsed but may come back are among them.
using SharedList = std::vector<message::BackendCopy>;

SharedList sharedList(const Backends &backends);

/// Equal for equal lists, whatever their order.
std::uint64_t digestOf(std::span<const message::BackendCopy> list);

message::ListNews listNews(const SharedList &before, const SharedList &after,
                           std::uint64_t revision);

/// `own` after the news; empty if they do not follow from it, so that the whole list is needed.
std::optional<SharedList> applyListNews(const SharedList &own, const message::ListNews &news);

std::vector<BackendEntry> entriesOf(std::span<const message::BackendCopy> list);

} // namespace chervil::relay

#endif
