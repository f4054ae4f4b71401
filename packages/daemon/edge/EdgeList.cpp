// The list of backend servers: nodes share their readings of the platform's store.
#include "base/Hash.h"
#include "daemon/edge/EdgeDetail.h"
#include "membership/Queries.h"

#include <algorithm>
#include <random>
#include <utility>

namespace chervil::daemon::detail {
namespace {

void useEntries(Edge &edge, std::vector<relay::BackendEntry> list, bool keepMissing,
                const store::Position &position) {
  handle(edge, [&edge, list = std::move(list), keepMissing, position](relay::Effects &out,
                                                                      const Now &now) {
    relay::onBackendList(edge.Relay, list, keepMissing, out, now, position);
  });
}

void useDepartures(Edge &edge, const std::vector<message::BackendDeparture> &departures) {
  handle(edge, [&edge, departures](relay::Effects &out, const Now &now) {
    for (const message::BackendDeparture &it : departures)
      relay::onBackendDeparture(edge.Relay, it, out, now);
  });
}

void rememberList(Edge &edge) {
  edge.List = relay::takeListSnapshot(edge.Relay.Servers);
  edge.ListDigest = relay::listDigest(edge.List);
}

/// Takes another node's list into use, and the departures that the node knows of.
void useShared(Edge &edge, const relay::BackendListSnapshot &list,
               const std::vector<message::BackendDeparture> &departures,
               const store::Position &position) {
  edge.ListPosition = position;
  useEntries(edge, relay::toEntries(list), false, position);
  useDepartures(edge, departures);
  handle(edge, [&edge](relay::Effects &, const Now &) { rememberList(edge); });
}

/// Asks for a later list than the one in use.
message::BackendListRequest requestOfNewer(const Edge &edge) {
  return {edge.ListPosition.Revision, edge.ListPosition.Era};
}

/// Place of this node in the order in which nodes read the list next: the watchers, then all
/// others; drawn anew with each reading, alike on all nodes.
std::size_t readingRank(const Edge &edge) {
  const auto placeOf = [&](const NodeId &id) {
    return std::pair(edge.Watchers.contains(id.Name),
                     hashBytes(id.Name, edge.ListPosition.Revision));
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
  const store::Position position{edge.ServerItems.Era, edge.ServerItems.Revision};
  const bool isNewest = position >= edge.ListPosition;
  edge.ListPosition = std::max(edge.ListPosition, position);
  store::scheduleNextRead(edge.ServerItems, readingRank(edge), net::readNow());
  if (!isNewest) {
    count(edge.Counters, "list_reading_dropped", "older");
    logLine(edge, "backends", "list_reading_dropped",
            {{"revision", std::to_string(position.Revision)},
             {"era", std::to_string(position.Era)},
             {"known_revision", std::to_string(edge.ListPosition.Revision)},
             {"known_era", std::to_string(edge.ListPosition.Era)}});
    return;
  }
  useEntries(edge, std::move(list), keepMissing, position);
  // After the news of departures, which are effects of the list.
  handle(edge, [&edge](relay::Effects &, const Now &now) {
    const relay::BackendListSnapshot before = std::move(edge.List);
    rememberList(edge);
    message::BackendListDelta delta =
        relay::diffLists(before, edge.List, edge.ListPosition.Revision);
    delta.Era = edge.ListPosition.Era;
    delta.Departures = relay::departuresOf(edge.Relay.Servers, delta.Changed, now);
    for (const NodeId &it : otherMembers(edge))
      sendTo(edge, it, delta);
  });
}

void onListDelta(Edge &edge, const std::string &from, const message::BackendListDelta &delta) {
  noteEra(edge, delta.Era, "peer");
  const store::Position position{delta.Era, delta.Revision};
  if (position <= edge.ListPosition)
    return;
  if (delta.After == edge.ListDigest) {
    edge.ListPosition = position;
    handle(edge, [&edge, position](relay::Effects &, const Now &) {
      relay::confirmList(edge.Relay.Servers, position);
    });
  } else if (const auto list = relay::applyListDiff(edge.List, delta)) {
    useShared(edge, *list, delta.Departures, position);
  } else {
    count(edge.Counters, "retry", "list_differs");
    net::send(*edge.Peers, from, requestOfNewer(edge));
    return;
  }
  store::onSharedRead(edge.ServerItems, readingRank(edge), net::readNow());
}

void onListRequest(Edge &edge, const std::string &from,
                   const message::BackendListRequest &request) {
  if (edge.ListPosition <= store::Position{request.Era, request.Revision})
    return;
  const Now now = net::readNow();
  relay::BackendListSnapshot list = relay::takeListSnapshot(edge.Relay.Servers);
  std::vector<message::BackendDeparture> departures =
      relay::departuresOf(edge.Relay.Servers, list, now);
  net::send(*edge.Peers, from,
            message::BackendListCopy{
                edge.ListPosition.Revision, std::move(list), edge.ListPosition.Era,
                std::move(departures),
                std::chrono::ceil<std::chrono::milliseconds>(returnTimeLeft(edge, now))});
}

void onListCopy(Edge &edge, const message::BackendListCopy &copy) {
  noteEra(edge, copy.Era, "peer");
  const store::Position position{copy.Era, copy.Revision};
  edge.FirstListRequests = 0;
  edge.KeepMissingUntil =
      std::max(edge.KeepMissingUntil, net::readNow().Steady + Duration(copy.KeepMissing));
  if (position <= edge.ListPosition) {
    useDepartures(edge, copy.Departures);
    return;
  }
  logLine(edge, "backends", "list_from_peer",
          {{"revision", std::to_string(copy.Revision)},
           {"servers", std::to_string(copy.Backends.size())}});
  useShared(edge, copy.Backends, copy.Departures, position);
}

void askForList(Edge &edge) {
  const std::vector<NodeId> others = otherMembers(edge);
  const bool isFirst = edge.FirstListRequests > 0;
  if (others.empty() || (!isFirst && isConnected(edge.ServerItems, net::readNow())))
    return;
  if (isFirst)
    --edge.FirstListRequests;
  std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
  for (int i = 0; i < 2; ++i)
    // A list that is not newer is of use too: its departures are.
    sendTo(edge, others[pick(edge.Rng)],
           isFirst ? message::BackendListRequest{} : requestOfNewer(edge));
}

} // namespace chervil::daemon::detail
