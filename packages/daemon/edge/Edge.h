// A node in the form in which requests need no record: binds the decisions of package relay to
// sockets, peers and the platform. Use:
//   Edge edge(settings, path);
//   Result<void> ok = start(edge);
//   net::run(edge.Loop);
// docs/platform-deployment.md describes the parts. Everything runs on the loop's thread.
#ifndef CHERVIL_DAEMON_EDGE_EDGE_H
#define CHERVIL_DAEMON_EDGE_EDGE_H

#include "base/Error.h"
#include "config/Store.h"
#include "daemon/Metrics.h"
#include "daemon/edge/RolloutState.h"
#include "daemon/edge/StructuredLog.h"
#include "duty/JumpTolerantClock.h"
#include "duty/Lease.h"
#include "duty/UsageCounters.h"
#include "duty/UsagePosting.h"
#include "fleet/ZoneOrders.h"
#include "http/Client.h"
#include "http/Server.h"
#include "limits/MemoryBudget.h"
#include "limits/ServerLimitHome.h"
#include "limits/TokenHome.h"
#include "membership/Membership.h"
#include "net/PeerTransport.h"
#include "net/TimerService.h"
#include "relay/BackendListSync.h"
#include "relay/Relay.h"
#include "settings/NodeSettings.h"
#include "store/Mirror.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervil::daemon {

/// One call to a backend server.
struct OpenCall {
  std::uint64_t HttpCall = 0;
  relay::RequestId Request = 0;
  http::ResponseHead Head;
};

/// A request that is not answered completely.
struct OpenRequest {
  http::RequestHead Head;
  /// Shared with the calls that pass it on.
  std::shared_ptr<const std::string> Body;
  TimePoint Started{};
};

/// Members are destroyed in reverse order: everything on the loop goes before the loop.
struct Edge {
  /// `overrides` apply to the settings file whenever it is read again; see parseNodeSettings().
  Edge(NodeSettings settings, std::string settingsPath, std::vector<std::string> overrides = {});

  NodeSettings Settings;
  std::string SettingsPath;
  std::vector<std::string> SettingOverrides;
  std::string SettingsText;
  net::Loop Loop;
  net::TimerService Timers{Loop};
  Metrics Counters;
  StructuredLog Log;
  Random Rng;
  duty::JumpTolerantClock Clock;

  // Decisions.
  relay::State Relay;
  membership::State Members;
  config::Store Documents;
  /// What the process holds for clients and backend servers.
  limits::MemoryBudget Memory;
  /// By IP address of a client that was turned away: when that was last logged.
  std::map<std::string, TimePoint> ShedLogged;
  limits::TokenHome Home;
  limits::ServerLimitHome ServerLimits;
  TimePoint NextLimitShare{};
  std::size_t HealthyNodes = 1;
  /// Largest number of nodes in touch lately, and when it was seen.
  std::size_t KnownNodes = 1;
  TimePoint KnownAt{};
  /// Seeds other than this node.
  std::size_t OtherSeeds = 0;
  /// Peers that did not answer a claim, until when they are passed over.
  std::map<std::string, TimePoint> AvoidedHomes;
  /// Address of the node that was asked, by number of the pending claim to send a request.
  std::unordered_map<std::uint64_t, std::string> AskedHomes;
  store::Mirror OperatorItems;
  store::Mirror ServerItems;
  store::Mirror OwnItems;
  /// How often the store has come back from an older copy, as far as this node knows.
  std::uint64_t StoreEra = 0;
  /// Reading of the list of backend servers in use, by this node or a peer.
  store::Position ListPosition;
  /// That list as other nodes compare it, and its digest.
  relay::BackendListSnapshot List;
  std::uint64_t ListDigest = 0;
  /// Remaining requests for the list of a peer after the start of this node, which lacks the
  /// departures that the peers know of. 0 once a list has arrived.
  unsigned FirstListRequests = 10;
  /// A peer keeps entries that its reading lacks until this time; see BackendListCopy::KeepMissing.
  TimePoint KeepMissingUntil{};
  /// Names of the nodes that watch the store and read the list for all, as of the last tick.
  std::set<std::string> Watchers;
  /// News of shared prompt parts from other groups of nodes, to be forwarded to the own group.
  message::CachedPromptParts RelayedParts;
  TimePoint NextPartsShare{};
  std::set<std::string> BadEntries;
  duty::Lease Lease;
  duty::UsageCounters Usage;
  duty::UsagePosting Posting;
  /// Backend servers named in the last message about this node's work.
  std::size_t SentLoads = 0;
  bool ActsAsHolder = false;
  /// The latest holder of the duty that this node knows of, from the store or from itself.
  message::DutyHolderAnnouncement Holder;
  /// When each node last sent its usage.
  std::map<std::string, TimePoint> UsageHeard;
  TimePoint NextHolderAnnouncement{};
  /// Orders of backend servers by service, while this node holds the duty.
  std::map<std::string, fleet::ZoneOrders> Orders;
  TimePoint NextOrders{};
  RolloutState Rollouts;
  /// Since when no node has held the duty.
  std::optional<TimePoint> DutyFreeSince;
  /// The duty is free, and this node may not claim it yet; see duty::mayClaim().
  bool ClaimDeferred = false;
  TimePoint NextUsageReport{};
  /// The counts that an earlier holder left in the store have been read.
  bool BookKnown = false;
  bool BookBusy = false;
  TimePoint NextBookWrite{};
  /// Calls of the mirrors that are under way, by prefix.
  std::map<std::string, std::uint64_t> MirrorCalls;
  bool IsLeaving = false;
  TimePoint LeavingSince{};
  bool WasReady = false;

  // Sockets.
  http::ClientPtr Backends;
  http::ClientPtr Platform;
  http::ServerPtr Callers;
  http::ServerPtr Ready;
  http::ServerPtr Entry;
  http::ServerPtr Admin;
  net::PeerTransportPtr Peers;

  /// Requests that are not answered completely, by handle.
  std::unordered_map<relay::RequestId, OpenRequest> Requests;
  std::unordered_map<relay::CallId, OpenCall> Calls;
  /// Work that arose while effects were carried out.
  std::deque<std::function<void()>> Pending;
  bool Working = false;
  bool Stopping = false;
};

/// Listens on all addresses and starts all timers. Fails with BadSetting.
Result<void> start(Edge &edge);

/// Starts the graceful stop.
void leave(Edge &edge);

/// True if the node can serve callers now.
bool isReady(const Edge &edge);

std::string metricsText(Edge &edge);

} // namespace chervil::daemon

#endif
