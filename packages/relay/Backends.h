// The backend servers that a node knows, and load balancing among them. Use:
//   applyList(backends, entries, false, now);
//   const Choice it = chooseServer(backends, criteria, now, rng);
//   if (it.Server != nullptr) send(it.Server->Entry.Address);
// Does no I/O and reads no clock. Not thread-safe.
#ifndef CHERVIL_RELAY_BACKENDS_H
#define CHERVIL_RELAY_BACKENDS_H

#include "balance/Forecast.h"
#include "balance/Speed.h"
#include "base/Random.h"
#include "base/Time.h"
#include "message/BackendLoads.h"
#include "relay/BackendEntry.h"
#include "relay/Departures.h"
#include "relay/PeerLoads.h"
#include "relay/PrefixCacheIndex.h"
#include "relay/RequestInfo.h"
#include "relay/RequestLimit.h"
#include "relay/VersionFilter.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervil::relay {

/// A backend server and what this node knows of its load and health.
struct Backend {
  BackendEntry Entry;
  /// Gets no new requests, because a departure of this start is known.
  bool Leaving = false;
  /// Since when it has not been listed; empty while it is. It is kept while requests run on it.
  std::optional<TimePoint> MissingSince;
  /// Requests that this node has in flight on it.
  unsigned Inflight = 0;
  /// Requests in flight whose answer has begun, and expected prompt tokens of the others.
  unsigned Running = 0;
  double PendingTokens = 0;
  /// Smoothed fraction of recent answers that failed, 0 to 1.
  double FailureRate = 0;
  /// Connections or answers that failed since the last success.
  unsigned ConsecutiveFailures = 0;
  /// Until this time it gets new requests only if no other server is eligible.
  TimePoint AvoidUntil{};
  /// It has asked this node to send nothing before this time.
  TimePoint NothingUntil{};
  /// Empty if no statement about its limit is known.
  std::optional<RequestLimit> Limit;
  /// A claim to send a request to it is not answered yet. Only for servers with a limit.
  bool ClaimPending = false;
  /// No claim is sent before this time, because the last one was denied.
  TimePoint ClaimDeniedUntil{};
  /// What the answers that passed through this node say about its speed since its start.
  balance::SpeedEvidence Speed;
  /// It is slow after its start until this time.
  TimePoint WarmUntil{};
};

/// Usual times of the backend servers of a service.
struct ServiceTimes {
  /// Per prompt token, queued ones included.
  balance::ServicePrior PerToken;
  /// Per event of a stream.
  balance::ServicePrior PerEvent;
};

/// All backend servers that a node knows.
struct Backends {
  /// Data centre of this node.
  std::string DataCentre;
  /// By id.
  std::map<std::string, Backend> Servers;
  /// Name of this node, which is the source of the departures that it learns itself.
  std::string Node;
  /// Position of the store at which the list was read.
  store::Position ListPosition;
  relay::Departures Departures;
  /// Work of the other nodes on the servers.
  relay::PeerLoads Peers;
  /// Extrapolates the work of the nodes that reported to all other nodes; 1 if all report.
  double PeerScale = 1;
  /// Nodes other than this one.
  std::size_t OtherNodes = 0;
  /// By service.
  std::map<std::string, ServiceTimes> Times;
  PrefixCacheIndex PrefixCache;
};

/// The estimates that a choice is based on, in prompt tokens of an average server unless said.
struct ChoiceFigures {
  /// Expected wait before the server begins with the request.
  double Wait = 0;
  /// See balance::SpeedEstimate.
  balance::SpeedEstimate Speed;
  /// Mean age of the reports of the other nodes, and what they sent to the service since.
  Duration ReportAge{};
  double SentSinceReports = 0;
  /// Tokens at the server of which the time to the first byte depends, those of the request
  /// included, and the part of them that was known exactly.
  double TokensBefore = 0;
  double CertainPart = 0;
  std::size_t Candidates = 0;
};

/// The server chosen for a request.
struct Choice {
  const Backend *Server = nullptr;
  /// Prompt tokens that the server is expected to read itself.
  double PendingTokens = 0;
  /// Server that probably caches the shared prefix that the chosen server lacks, and from which it
  /// can fetch it; null if there is none.
  const Backend *PrefixSource = nullptr;
  /// Only for requests with a shared prefix.
  ChoiceFigures Figures;
};

/// Properties of a request that determine the choice of a server.
struct SelectionCriteria {
  std::string Service;
  /// Prompt of a request to a model engine; empty for other services.
  std::span<const PromptPart> Prompt;
  /// Ids of servers that must not be chosen.
  std::span<const std::string> Excluded;
  /// Requests that this node may have in flight on one server; 0 for no limit.
  unsigned MaxInflight = 0;
  /// Whether servers that limit their requests are chosen.
  enum class LimitedServers : std::uint8_t {
    /// Those for which a claim can be sent now.
    Claimable,
    None,
    All,
  };
  LimitedServers Limited = LimitedServers::Claimable;
  /// Id of the only server that may be chosen; empty for all.
  std::string_view Only;
  /// Versions that may be chosen; empty for all, without a rollout.
  std::optional<VersionFilter> Versions;
  /// What this node sends to the service.
  double OwnTokensPerSecond = 0;
};

/// Replaces the list of servers by the reading at `position`. A server that is missing from it has
/// lapsed and is removed once no request runs on it, unless `keepMissing` is set: entries expire
/// while the store of the list is unavailable and return afterwards. Returns the departures that
/// are new, which the caller reports to its peers.
std::vector<message::BackendDeparture> applyList(Backends &backends,
                                                 std::span<const BackendEntry> list,
                                                 bool keepMissing, const Now &now,
                                                 const store::Position &position = {});

/// A later reading, at `position`, gives the list that is in use already.
void confirmList(Backends &backends, const store::Position &position);

/// Applies a departure that a peer or the server reported; see addDeparture(). Returns true if
/// peers are to be told.
bool applyDeparture(Backends &backends, const message::BackendDeparture &departure, const Now &now);

/// Returns a departure that this node learned just now.
message::BackendDeparture makeDeparture(const Backends &backends, const ServerStart &start,
                                        message::DepartureKind kind);

/// Chooses a server by load, expected prompt tokens and cached prefixes. The result has no server
/// if none is eligible.
Choice chooseServer(const Backends &backends, const SelectionCriteria &criteria, const Now &now,
                    Random &rng);
/// Returns the load that this node puts on each server, for the other nodes.
message::BackendLoads localLoads(const Backends &backends, const Now &now = {});

/// True if the server limits the requests of all nodes together, so that each needs a claim.
inline bool isLimited(const Backend &server) {
  return server.Limit && server.Limit->PerSecond.has_value();
}

/// Returns true if only its limit keeps a server from being chosen.
bool hasServerBehindLimit(const Backends &backends, SelectionCriteria criteria, const Now &now);

/// Notes that a server wants no requests from this node for a time. Returns true if it had not
/// asked for that yet.
bool pauseServer(Backends &backends, const std::string &id, Duration time, const Now &now);

/// Returns when the first server takes requests again, if all that are not leaving have asked this
/// node to send nothing; empty if one takes requests now or there is none. Regards the service and
/// the versions of the criteria.
std::optional<TimePoint> endOfPause(const Backends &backends, const SelectionCriteria &criteria,
                                    const Now &now);

/// Returns true if the service has a server of an allowed version that is not leaving. Regards the
/// service and the versions of the criteria.
bool hasActiveServer(const Backends &backends, const SelectionCriteria &criteria);

/// Returns the server with this id, or null. The pointer is valid until the list changes.
Backend *find(Backends &backends, const std::string &id);

/// Counts a request that was sent; `pendingTokens` is Choice::PendingTokens.
void onRequestSent(Backends &backends, const std::string &id, double pendingTokens);
/// Handles the first byte of an answer, which means that the server has read the prompt and caches
/// its shared prefix.
void onFirstByte(Backends &backends, const std::string &id, double pendingTokens,
                 std::span<const PromptPart> prompt);
/// Learns the speed of a server from the time to the first byte of a request that was chosen with
/// these figures.
void onPromptRead(Backends &backends, const std::string &id, const ChoiceFigures &figures,
                  Duration time, const Now &now);
/// Learns the speed of a server from a number of successive events of a stream.
void onEventsTimed(Backends &backends, const std::string &id, unsigned events, Duration time,
                   const Now &now);
/// Returns the estimate of the speed of a server by this node and its peers.
balance::SpeedEstimate speedOf(const Backends &backends, const Backend &server, const Now &now);
/// Returns the expected wait at a server in prompt tokens of an average one.
double expectedWaitAt(const Backends &backends, const Backend &server, const Now &now);

/// Removes a request that ended; `gotFirstByte` tells whether its first byte had arrived.
void onRequestEnded(Backends &backends, const std::string &id, double pendingTokens,
                    bool gotFirstByte);

/// Result of one attempt to run a request on a server.
enum class SendOutcome : std::uint8_t {
  Success,
  /// The server answered that it failed.
  ServerError,
  /// No connection, or one that closed early.
  Broken,
  /// The server rejected the request because it has no capacity.
  Full,
};
/// Updates the failure rate of a server, and avoids it for a while if it fails or is full.
void recordOutcome(Backends &backends, const std::string &id, SendOutcome outcome, const Now &now);

/// Returns the number of tokens before the last part of a prompt: the prefix that requests share.
std::uint64_t sharedPrefixTokens(std::span<const PromptPart> prompt);

/// Returns the hash that identifies the shared prefix of a prompt, that of the last part but one;
/// empty if the prompt has fewer than two parts. Requests with equal prefixes should run on a
/// server that caches it.
std::optional<std::uint64_t> sharedPrefixHash(std::span<const PromptPart> prompt);

} // namespace chervil::relay

#endif
