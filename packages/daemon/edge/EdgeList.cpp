// The list of backend servers: nodes share their readings of the platform's store.
#include "base/Hash.h"
#include "daemon/edge/EdgeDetail.h"
#include "membership/Queries.h"

#include <algorithm>
#include <random>
#include <utility>

namespace chervil::daemon::detail {
namespace {

void useEntries(Edge &edge, std::vector<relay::BackendEntry> list, bool keepMissing) {
  handle(edge, [&edge, list = std::move(list), keepMissing](relay::Effects &out, const Now &now) {
    relay::onBackendList(edge.Relay, list, keepMissing, out, now);
  });
}

void rememberList(Edge &edge) {
  edge.List = relay::takeListSnapshot(edge.Relay.Servers);
  edge.ListDigest = relay::listDigest(edge.List);
}

/// Takes another node's list into use, and what that node was told about departures.
void useShared(Edge &edge, const relay::BackendListSnapshot &list, std::uint64_t revision) {
  edge.ListRevision = revision;
  useEntries(edge, relay::toEntries(list), false);
  handle(edge, [&edge, list](relay::Effects &out, const Now &now) {
    for (const message::BackendCopy &it : list)
      if (it.Leaving && !it.Draining)
        relay::onBackendStatus(edge.Relay, {it.Id, 0, 1, true, it.Born}, out, now);
    rememberList(edge);
  });
}

/// Place of this node in the order in which nodes read the list next: the watchers, then all
/// others; drawn anew with each reading, alike on all nodes.
std::size_t readingRank(const Edge &edge) {
  const auto placeOf = [&](const NodeId &id) {
    return std::pair(edge.Watchers.contains(id.Name), hashBytes(id.Name, edge.ListRevision));
  };
  const auto own = placeOf(membership::self(edge.Members).Info.Id);
  std::size_t rank = 0;
  for (const membership::Member *it : membership::live(edge.Members))
    rank += placeOf(it->Info.Id) > own ? 1 : 0;
  return rank;
}

} // namespace

void onListRead(Edge &edge, std::vector<relay::BackendEntry> list, bool keepMissing) {
  // Another node's later reading may have arrived meanwhile.
  const bool isNewest = edge.ServerItems.Revision >= edge.ListRevision;
  edge.ListRevision = std::max(edge.ListRevision, edge.ServerItems.Revision);
  store::scheduleNextRead(edge.ServerItems, readingRank(edge), net::readNow());
  if (!isNewest) {
    count(edge.Counters, "list_reading_dropped", "older");
    logLine(edge, "backends", "list_reading_dropped",
            {{"revision", std::to_string(edge.ServerItems.Revision)},
             {"known", std::to_string(edge.ListRevision)},
             {"era", std::to_string(edge.StoreEra)}});
    return;
  }
  useEntries(edge, std::move(list), keepMissing);
  // After the news of departures, which are effects of the list.
  handle(edge, [&edge](relay::Effects &, const Now &) {
    const relay::BackendListSnapshot before = std::move(edge.List);
    rememberList(edge);
    const message::BackendListDelta delta = relay::diffLists(before, edge.List, edge.ListRevision);
    for (const NodeId &it : otherMembers(edge))
      sendTo(edge, it, delta);
  });
}

void onListDelta(Edge &edge, const std::string &from, const message::BackendListDelta &delta) {
  if (delta.Revision <= edge.ListRevision)
    return;
  if (delta.After == edge.ListDigest) {
    edge.ListRevision = delta.Revision;
  } else if (const auto list = relay::applyListDiff(edge.List, delta)) {
    useShared(edge, *list, delta.Revision);
  } else {
    count(edge.Counters, "retry", "list_differs");
    net::send(*edge.Peers, from, message::BackendListRequest{edge.ListRevision});
    return;
  }
  store::onSharedRead(edge.ServerItems, readingRank(edge), net::readNow());
}

void onListRequest(Edge &edge, const std::string &from,
                   const message::BackendListRequest &request) {
  if (edge.ListRevision > request.Revision)
    net::send(
        *edge.Peers, from,
        message::BackendListCopy{edge.ListRevision, relay::takeListSnapshot(edge.Relay.Servers)});
}

void onListCopy(Edge &edge, const message::BackendListCopy &copy) {
  if (copy.Revision <= edge.ListRevision)
    return;
  logLine(edge, "backends", "list_from_peer",
          {{"revision", std::to_string(copy.Revision)},
           {"servers", std::to_string(copy.Backends.size())}});
  useShared(edge, copy.Backends, copy.Revision);
}

void askForList(Edge &edge) {
  const std::vector<NodeId> others = otherMembers(edge);
  if (isConnected(edge.ServerItems, net::readNow()) || others.empty())
    return;
  std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
  for (int i = 0; i < 2; ++i)
    sendTo(edge, others[pick(edge.Rng)], message::BackendListRequest{edge.ListRevision});
}

} // namespace chervil::daemon::detail
