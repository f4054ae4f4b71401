// What passes between nodes: members, documents, limits, usage and news.
#include "daemon/edge/EdgeDetail.h"

#include "base/Hash.h"
#include "duty/Holder.h"
#include "membership/Queries.h"

#include <algorithm>
#include <utility>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Members that get a piece of news from each node that learns it. In a small fleet all get it: by
// calculation, three of nine miss one node in 1 of 64 cases.
constexpr std::size_t SpreadFanout = 4;
constexpr std::size_t SmallFleet = 16;
// A node that has sent no usage for this long may not know who holds the duty.
constexpr Duration SilentReporter = 1s;
// Part of the sockets for accepted connections whose node has not proved itself, and the least
// number. The smallest VM may have 2,875 sockets; 359 are more than the nodes of a fleet.
constexpr std::size_t HandshakeDivisor = 8;
constexpr std::size_t MinHandshakes = 32;
// A fleet that shrank is taken to be as large as before for this long: its nodes may be cut off.
constexpr Duration KnownTime = 60s;

void apply(Edge &edge, const membership::Effects &effects) {
  for (const membership::OutgoingMessage &it : effects.Messages)
    net::send(*edge.Peers, it.Address, it.Body);
  for (const membership::MemberChange &it : effects.Changes)
    logLine(edge, "membership", "member",
            {{"member", it.Id.Name},
             {"incarnation", std::to_string(it.Id.Incarnation)},
             {"state", std::to_string(static_cast<int>(it.State))}});
}

void apply(Edge &edge, const config::Effects &effects) {
  for (const config::Send &it : effects.Sends)
    sendTo(edge, it.To, it.Body);
}

/// Messages by type.
struct Dispatch {
  Edge &E;
  const NodeId &From;
  const std::string &Address;
  Now Time;

  void operator()(const message::Ping &m) const {
    apply(E, membership::onPing(E.Members, From, Address, m, Time, E.Rng));
  }
  void operator()(const message::PingRequest &m) const {
    apply(E, membership::onPingRequest(E.Members, From, Address, m, Time, E.Rng));
  }
  void operator()(const message::Ack &m) const {
    apply(E, membership::onAck(E.Members, From, Address, m, Time, E.Rng));
    if (m.Subject == From)
      apply(E, config::onPeerHash(E.Documents, From, m.DocsHash, Time));
  }
  void operator()(const message::MemberExchange &m) const {
    apply(E, membership::onExchange(E.Members, From, Address, m, Time));
  }
  void operator()(const message::DocUpdate &m) const {
    if (m.Name == ConfigurationName)
      onConfigurationUpdate(E, m, Time);
    else
      apply(E, config::onUpdate(E.Documents, m, Time));
  }
  void operator()(const message::DocDigest &m) const {
    apply(E, config::onDigest(E.Documents, From, m, Time));
  }
  void operator()(const message::DocRequest &m) const {
    apply(E, config::onRequest(E.Documents, From, m));
  }
  void operator()(const message::TokenClaim &m) const {
    net::send(*E.Peers, Address, answerClaim(E, m));
  }
  void operator()(const message::TokenGrant &m) const { onTokenGrant(E, m); }
  void operator()(const message::SendClaim &m) const {
    net::send(*E.Peers, Address, answerClaim(E, m));
  }
  void operator()(const message::SendGrant &m) const { onSendGrant(E, m); }
  void operator()(const message::BackendLimits &m) const {
    Edge &edge = E;
    handle(E, [&edge, m](relay::Effects &out, const Now &now) {
      relay::onBackendLimits(edge.Relay, m, out, now);
    });
  }
  void operator()(const message::UsageReport &m) const {
    E.UsageHeard[From.Name] = Time.Steady;
    duty::mergeReport(E.Usage, m);
  }
  void operator()(const message::DutyHolderAnnouncement &m) const { setHolderIfNewer(E, m); }
  void operator()(const message::BackendDeparture &m) const {
    Edge &edge = E;
    handle(E, [&edge, m](relay::Effects &out, const Now &now) {
      relay::onBackendDeparture(edge.Relay, m, out, now);
    });
  }
  void operator()(const message::CrashReport &m) const {
    Edge &edge = E;
    handle(E, [&edge, m](relay::Effects &out, const Now &now) {
      relay::onCrashReport(edge.Relay, m, out, now);
    });
  }
  void operator()(const message::PartEvidence &m) const {
    Edge &edge = E;
    handle(E, [&edge, m](relay::Effects &out, const Now &now) {
      relay::onPartEvidence(edge.Relay, m, out, now);
    });
  }
  void operator()(const message::ConfigurationStatus &m) const {
    onConfigurationStatus(E, From, m, Time);
  }
  void operator()(const message::BackendListRequest &m) const { onListRequest(E, Address, m); }
  void operator()(const message::BackendListCopy &m) const { onListCopy(E, m); }
  void operator()(const message::BackendListDelta &m) const { onListDelta(E, Address, m); }
  void operator()(const message::BackendLoads &m) const {
    relay::onPeerLoads(E.Relay, From.Name, m, MaxLoadPeers, Time);
  }
  void operator()(const message::CachedPromptParts &m) const {
    relay::mergeHolders(E.Relay.Servers.PrefixCache, m);
    forwardParts(E, From, m);
  }
  void operator()(const message::RolloutReport &m) const {
    if (const auto grant = answerRolloutReport(E, m))
      net::send(*E.Peers, Address, *grant);
  }
  void operator()(const message::RolloutGrant &m) const { onRolloutGrant(E, m); }
  /// Messages about records and shards, which this form of a node does not have.
  template <typename Other> void operator()(const Other &) const {
    count(E.Counters, "peer_message_ignored", "unknown");
  }
};

void onUnreachable(Edge &edge, const std::string &address) {
  count(edge.Counters, "retry", "peer_unreachable");
  avoidHome(edge, address);
}

/// Two nodes of each data centre watch the store and read the list for all.
void refreshWatchers(Edge &edge) {
  edge.Watchers.clear();
  for (const auto &[dataCentre, ids] : membership::watchers(edge.Members))
    for (const NodeId &it : ids)
      edge.Watchers.insert(it.Name);
}

/// Counts the nodes that share limits and retries, and those that are in touch.
void countNodes(Edge &edge, const Now &now) {
  std::size_t live = 0;
  std::size_t healthy = 0;
  for (const membership::Member *it : membership::live(edge.Members)) {
    live += membership::isLeaving(*it) ? 0 : 1;
    healthy += it->Info.State != message::MemberState::Suspect ? 1 : 0;
  }
  live = std::max<std::size_t>(1, live);
  if (edge.Relay.LiveNodes != live) {
    edge.Relay.LiveNodes = live;
    edge.Home.Since = now.Steady;
    for (store::Mirror *it : {&edge.OperatorItems, &edge.OwnItems})
      it->Options.WatchWait = store::watchWaitOf(live);
  }
  edge.HealthyNodes = std::max<std::size_t>(1, healthy);
  // A node that starts while it is cut off knows of the others only by its seeds.
  const std::size_t least = 2 * edge.OtherSeeds + 1;
  if (healthy >= edge.KnownNodes || now.Steady - edge.KnownAt > KnownTime) {
    edge.KnownNodes = std::max(least, edge.HealthyNodes);
    edge.KnownAt = now.Steady;
  }
}

/// Tells other nodes this node's work on the backend servers that they share.
void shareLoads(Edge &edge) {
  const message::BackendLoads loads = relay::buildLoadReport(edge.Relay, net::readNow());
  if (loads.Loads.empty() && edge.SentLoads == 0)
    return;
  edge.SentLoads = loads.Loads.size();
  std::vector<NodeId> others = otherMembers(edge);
  if (others.size() > MaxLoadPeers) {
    std::ranges::shuffle(others, edge.Rng);
    others.resize(MaxLoadPeers);
  }
  for (const NodeId &it : others)
    sendTo(edge, it, loads);
}

} // namespace

void sendTo(Edge &edge, const NodeId &to, const message::Message &m) {
  if (const membership::Member *it = membership::find(edge.Members, to))
    net::send(*edge.Peers, it->Info.PeerAddress, m);
}

std::vector<NodeId> otherMembers(const Edge &edge) {
  std::vector<NodeId> out;
  for (const membership::Member *it : membership::live(edge.Members))
    if (it->Info.Id.Name != edge.Settings.Node.Name)
      out.push_back(it->Info.Id);
  return out;
}

std::string nodeKey(const NodeId &id) { return id.Name + "/" + std::to_string(id.Incarnation); }

std::string selfKey(const Edge &edge) { return nodeKey(membership::self(edge.Members).Info.Id); }

Result<void> startPeers(Edge &edge) {
  const NodeSection &node = edge.Settings.Node;
  auto peers = net::startPeerTransport(
      edge.Loop,
      {.Self = membership::self(edge.Members).Info.Id,
       .DataCentre = node.DataCentre,
       .Listen = node.PeerListen,
       .Advertise = node.PeerAdvertise,
       .Secret = node.PeerSecret,
       .MaxHandshakes = std::max(MinHandshakes, maxSockets(edge) / HandshakeDivisor)},
      {.OnMessage =
           [&edge](const NodeId &from, const std::string &address, message::Message &&m) {
             std::visit(Dispatch{edge, from, address, net::readNow()}, m);
           },
       .OnUnreachable = [&edge](const std::string &address) { onUnreachable(edge, address); }});
  if (!peers)
    return tl::make_unexpected(peers.error());
  edge.Peers = std::move(*peers);
  return {};
}

void spread(Edge &edge, const message::Message &m) {
  std::vector<NodeId> others = otherMembers(edge);
  if (others.size() > SmallFleet) {
    std::ranges::shuffle(others, edge.Rng);
    others.resize(SpreadFanout);
  }
  for (const NodeId &it : others)
    sendTo(edge, it, m);
}

void setHolderIfNewer(Edge &edge, const message::DutyHolderAnnouncement &announcement) {
  if (announcement.Token > edge.Holder.Token)
    edge.Holder = announcement;
}

void reportUsage(Edge &edge) {
  const store::Item *item = holderItem(edge);
  if (const auto value = item == nullptr ? std::nullopt : duty::parseHolder(item->Value))
    setHolderIfNewer(
        edge, {value->PeerAddress, duty::fencingToken({edge.OwnItems.ItemsEra, item->Created})});
  if (edge.Holder.Token == 0 || edge.Holder.PeerAddress == edge.Settings.Node.PeerAdvertise)
    return;
  const message::UsageReport report = duty::makeNodeReport(edge.Usage, selfKey(edge));
  if (!report.Counts.empty())
    net::send(*edge.Peers, edge.Holder.PeerAddress, report);
}

void announceHolder(Edge &edge) {
  const Now now = net::readNow();
  std::erase_if(edge.UsageHeard,
                [&](const auto &it) { return now.Steady - it.second > KnownTime; });
  for (const NodeId &it : otherMembers(edge))
    if (const auto heard = edge.UsageHeard.find(it.Name);
        heard == edge.UsageHeard.end() || now.Steady - heard->second > SilentReporter)
      sendTo(edge, it,
             message::DutyHolderAnnouncement{edge.Settings.Node.PeerAdvertise,
                                             edge.Lease.FencingToken});
}

void tickPeers(Edge &edge) {
  const Now now = net::readNow();
  edge.Members.DocsHash = config::docsHash(edge.Documents);
  apply(edge, membership::tick(edge.Members, now, edge.Rng));
  countNodes(edge, now);
  refreshWatchers(edge);
  apply(edge, config::disseminate(edge.Documents, otherMembers(edge), edge.Rng, now));
  checkClaims(edge);
  shareLimits(edge);
  askForList(edge);
  shareLoads(edge);
  shareParts(edge, now);
}

} // namespace chervil::daemon::detail
