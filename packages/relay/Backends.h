// The backend servers that a node knows, and the choice among them. Use:
//   applyList(backends, entries, now);
//   if (const Backend *it = choose(backends, work, now, rng)) send(it->Entry.Address);
// Pure; belongs to one node.
#ifndef CHERVIL_RELAY_BACKENDS_H
#define CHERVIL_RELAY_BACKENDS_H

#include "base/Random.h"
#include "base/Time.h"
#include "message/BackendLoads.h"
#include "relay/BackendEntry.h"
#include "relay/PrefixCacheIndex.h"
#include "relay/RequestInfo.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervil::relay {

struct Backend {
  BackendEntry Entry;
  /// Gets nothing new: it drains, was reclaimed or is no longer listed.
  bool Leaving = false;
  /// No longer listed since this time; kept while requests run on it.
  std::optional<TimePoint> MissingSince;
  /// Requests of this node on it.
  unsigned Inflight = 0;
  /// Those of them whose answer is under way, and prompt tokens of the others.
  unsigned Running = 0;
  double PendingTokens = 0;
  /// The same of all other nodes, as far as they said so lately.
  double PeersRunning = 0;
  double PeersPendingTokens = 0;
  /// Failed part of the last answers, 0 to 1.
  double FailureRate = 0;
  /// Connections or answers that failed one after the other.
  unsigned ConsecutiveFailures = 0;
  /// Gets new work only if no other server can, until this time.
  TimePoint AvoidUntil{};
};

/// One start of a server that is leaving.
struct LeavingServer {
  std::string Id;
  /// As in BackendEntry.
  std::uint64_t Born = 0;
};

/// What a peer said about a departure, and when.
struct LeavingReport {
  std::uint64_t Born = 0;
  TimePoint At{};
};

struct Backends {
  std::string DataCentre;
  std::map<std::string, Backend> Servers;
  /// Servers that peers reported as leaving, perhaps before the list showed it.
  std::map<std::string, LeavingReport> LeavingReports;
  /// Work of other nodes, by node, with the time at which they said so.
  std::map<std::string, std::pair<TimePoint, message::BackendLoads>> PeerLoads;
  PrefixCacheIndex PrefixCache;
};

/// Where a request goes.
struct Choice {
  const Backend *Server = nullptr;
  /// Prompt tokens that the server is expected to read.
  double PendingTokens = 0;
  /// A server that probably holds the shared part which the chosen one lacks, and from which it can
  /// be fetched; null if none.
  const Backend *PrefixSource = nullptr;
};

/// What a choice depends on.
struct SelectionCriteria {
  std::string Service;
  /// Prompt of a request to a model engine; empty for plain services.
  std::span<const PromptPart> Prompt;
  /// Servers that are not to be chosen.
  std::span<const std::string> Excluded;
  /// Requests that this node may have on one server; 0 for no bound.
  unsigned MaxInflight = 0;
};

/// Replaces the list. A server that is missing is leaving, and forgotten once nothing runs on it,
/// unless `keepMissing`: entries lapse while the list's store is away and return after it. Returns
/// the servers that became leaving, and are to be told to peers.
std::vector<LeavingServer> applyList(Backends &backends, std::span<const BackendEntry> list,
                                     bool keepMissing, const Now &now);

/// A peer knows that a server is leaving. Returns true if this node did not.
bool markLeaving(Backends &backends, const LeavingServer &departure, const Now &now);

/// Without a server if none can take the work.
Choice chooseServer(const Backends &backends, const SelectionCriteria &criteria, const Now &now,
                    Random &rng);

/// Work of another node; replaces what it said before.
void applyPeerLoads(Backends &backends, const std::string &node, const message::BackendLoads &loads,
                    const Now &now);
/// This node's own work, for the others.
message::BackendLoads localLoads(const Backends &backends);

/// True if the service has a server that is not leaving.
bool hasActiveServer(const Backends &backends, std::string_view service);

Backend *find(Backends &backends, const std::string &id);

/// A request was sent; `pending` are the prompt tokens of Choice.
void onRequestSent(Backends &backends, const std::string &id, double pending);
/// Its first byte arrived: the server has read the prompt.
void onFirstByte(Backends &backends, const std::string &id, double pending,
                 std::span<const PromptPart> prompt);
/// It ended; `began` tells whether its first byte had arrived.
void onRequestEnded(Backends &backends, const std::string &id, double pending, bool began);

enum class SendOutcome : std::uint8_t {
  Success,
  /// An answer of its own that says it failed.
  ServerError,
  /// No connection, or one that ended early.
  Broken,
  /// It has no room.
  Full,
};
void recordOutcome(Backends &backends, const std::string &id, SendOutcome what, const Now &now);

/// Tokens of a prompt before its last part, which other requests share.
std::uint64_t sharedPrefixTokens(std::span<const PromptPart> prompt);

/// Hash that identifies the shared part of a prompt: equal prompts belong to one server's cache.
std::optional<std::uint64_t> sharedPrefixHash(std::span<const PromptPart> prompt);

} // namespace chervil::relay

#endif
