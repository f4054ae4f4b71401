// Request handling for requests that belong to the node that accepted them: no stored record and no
// message to a peer per request. Use:
//   State state = makeState(options);
//   configure(state, configuration);
//   Effects out;
//   onRequest(state, id, info, arrived, out, now, rng);
//   for (const Effect &it : out) carryOut(it);
// The functions are deterministic and use no socket, clock, thread or log; they append effects to
// `out`. Not thread-safe. Every request is answered by exactly one of ForwardAnswer, Refuse,
// AbortStream, or BeginStream ... EndStream, unless its caller disconnects first. A request that is
// not idempotent is sent to a second backend server only if the first did not run it.
#ifndef CHERVIL_RELAY_RELAY_H
#define CHERVIL_RELAY_RELAY_H

#include "base/Random.h"
#include "limits/TokenAccount.h"
#include "message/BackendDeparture.h"
#include "message/BackendLimits.h"
#include "message/CrashReport.h"
#include "message/PartEvidence.h"
#include "message/SendClaim.h"
#include "message/SendGrant.h"
#include "message/TokenGrant.h"
#include "relay/ActiveRequest.h"
#include "relay/BackendHead.h"
#include "relay/Backends.h"
#include "relay/Effect.h"
#include "relay/Options.h"
#include "relay/PrefillDemand.h"
#include "relay/RetryShare.h"
#include "relay/Rollouts.h"
#include "retry/PartQuarantine.h"
#include "retry/Quarantine.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chervil::relay {

/// A claim to send a request to a server with a limit, until it is answered.
struct PendingSendClaim {
  RequestId Request = 0;
  std::string Backend;
  TimePoint ClaimedAt{};
};

/// Request handling state of one node.
struct State {
  Options Settings;
  /// Null until the first configuration.
  ConfigurationPtr Config;
  /// Maintained by the caller of configure(); only logged here.
  ConfigurationStatus ConfigStatus;
  Backends Servers;
  /// Number of live nodes, this one included. They share rate limits and retry budgets.
  std::size_t LiveNodes = 1;
  /// The node is about to stop and refuses new requests.
  bool RefusesRequests = false;
  std::unordered_map<RequestId, ActiveRequest> ActiveRequests;
  /// Bytes of the answers that are being collected.
  std::uint64_t CollectedBytes = 0;
  /// Open calls and their requests.
  std::unordered_map<CallId, RequestId> Calls;
  /// Rate limit accounts, by workspace.
  std::map<std::string, limits::TokenAccount> Accounts;
  /// This node's share of the retry budget, by service.
  std::map<std::string, RetryShare> Retries;
  /// Prefill demand of this node, by service.
  std::map<std::string, PrefillDemand> PrefillDemands;
  /// Rollouts of versions that this node has heard of, by service.
  relay::Rollouts Rollouts;
  /// How long answers usually take. Empty unless Options::Rollouts is set.
  relay::UsualTimes UsualTimes;
  /// Contents whose servers crashed.
  retry::Quarantine Quarantine;
  /// Parts of prompts that crash servers, and when peers that may have missed them are told next.
  retry::PartQuarantine PartQuarantine;
  TimePoint NextQuarantineShare{};
  /// The quarantined parts when waiting requests were last examined.
  std::vector<retry::Parts> ActedOnQuarantine;
  CallId NextCall = 1;
  std::uint64_t NextClaim = 1;
  /// By number of the claim.
  std::map<std::uint64_t, PendingSendClaim> SendClaims;
};

/// Returns the state of a node without configuration and servers.
State makeState(Options options);

/// Puts a configuration into force. Returns false, and changes nothing, unless its version is
/// higher than the current one.
bool configure(State &state, ConfigurationPtr configuration);

/// Returns the load report of this node for the other nodes: load by server, prefill demand by
/// service.
message::BackendLoads buildLoadReport(const State &state, const Now &now);

/// Handles the load report of another node. `reportFanout` is the number of nodes to which each
/// node reports; in a larger fleet, the work of the nodes that reported lately stands for all.
void onPeerLoads(State &state, const std::string &node, const message::BackendLoads &loads,
                 std::size_t reportFanout, const Now &now);

/// Estimates how many servers of a service the prefill demand of all nodes keeps fully busy. Empty
/// until this node has measured how fast a server reads prompts.
std::optional<double> estimateBusyServers(const State &state, const std::string &service,
                                          const Now &now);

/// Handles a new list of backend servers; see applyList().
void onBackendList(State &state, std::span<const BackendEntry> list, bool keepMissing, Effects &out,
                   const Now &now, const store::Position &position = {});
/// Handles a report of a peer that a backend server gets no new requests.
void onBackendDeparture(State &state, const message::BackendDeparture &departure, Effects &out,
                        const Now &now);
/// Merges the crash report of a peer and forwards it if it is new.
void onCrashReport(State &state, const message::CrashReport &report, Effects &out, const Now &now);

/// Merges a peer's evidence about parts of prompts that crash servers, forwards what is new, and
/// refuses requests that have become known to crash servers.
void onPartEvidence(State &state, const message::PartEvidence &evidence, Effects &out,
                    const Now &now);

/// Merges what a peer knows about the limits of servers, and forwards what is new.
void onBackendLimits(State &state, const message::BackendLimits &limits, Effects &out,
                     const Now &now);

/// Returns what this node knows about the limits of the given servers; see message::BackendLimits.
message::BackendLimits reportLimits(const State &state, std::span<const std::string> ids,
                                    const Now &now);

/// Returns the limit that applies to a claim, in requests per second: the newer of what the claim
/// and this node, which is the limit home, know. Empty if the server no longer states one.
std::optional<double> limitOfClaim(State &state, const message::SendClaim &claim, Effects &out,
                                   const Now &now);

/// Handles the answer to a claim: sends the request, or places it elsewhere.
void onSendGrant(State &state, const message::SendGrant &grant, Effects &out, const Now &now,
                 Random &rng);
/// Handles a claim that the limit home did not answer: the request is placed again.
void onSendClaimLost(State &state, std::uint64_t seq, Effects &out, const Now &now, Random &rng);

/// Handles a new request. `arrived` is when the caller's first byte arrived.
void onRequest(State &state, RequestId id, RequestInfo info, TimePoint arrived, Effects &out,
               const Now &now, Random &rng);
/// Cancels a request whose caller has disconnected.
void onCallerGone(State &state, RequestId id, Effects &out, const Now &now);

/// Events of a call to a backend server: its response head, bytes of the body, and its end. Events
/// of unknown calls are ignored.
void onBackendHead(State &state, CallId call, const BackendHead &head, Effects &out, const Now &now,
                   Random &rng);
void onBackendBytes(State &state, CallId call, std::string_view bytes, Effects &out, const Now &now,
                    Random &rng);
void onBackendEnd(State &state, CallId call, BackendEnd end, Effects &out, const Now &now,
                  Random &rng);

/// Handles the answer to a claim: admits or refuses the requests that wait for its tokens.
void onTokenGrant(State &state, const message::TokenGrant &grant, Effects &out, const Now &now,
                  Random &rng);
/// Handles a claim that the home node of a workspace did not answer.
void onClaimLost(State &state, const std::string &workspace, Effects &out, const Now &now);

/// The node stops now: gives each open request its final answer. A stream that has begun is
/// aborted.
void endRequests(State &state, Effects &out, const Now &now, Random &rng);

/// Refuses requests that timed out, ends streams that make no progress, and dispatches requests
/// that wait for a server. Call it about every 20 ms.
void tick(State &state, Effects &out, const Now &now, Random &rng);

} // namespace chervil::relay

#endif
