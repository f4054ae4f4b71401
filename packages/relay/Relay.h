// Decisions about requests that belong to the node that took them: no record and no message to a
// peer per request. Use:
//   State state = makeState(options);
//   configure(state, configuration);
//   Effects out;
//   onRequest(state, id, info, out, now, rng);
//   for (const Effect &it : out) carryOut(it);
// Pure: no socket, clock, thread or log. Every request is answered by exactly one of ForwardAnswer,
// Refuse, AbortStream, or BeginStream ... EndStream, unless its caller leaves first. A request that
// is not idempotent is sent to a second backend server only if the first did not run it.
#ifndef CHERVIL_RELAY_RELAY_H
#define CHERVIL_RELAY_RELAY_H

#include "base/Random.h"
#include "limits/TokenAccount.h"
#include "message/BackendNews.h"
#include "message/CrashReport.h"
#include "message/TokenGrant.h"
#include "relay/ActiveRequest.h"
#include "relay/BackendHead.h"
#include "relay/Backends.h"
#include "relay/Effect.h"
#include "relay/Options.h"
#include "relay/PrefillDemand.h"
#include "relay/RetryShare.h"
#include "retry/Quarantine.h"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace chervil::relay {

struct State {
  Options Settings;
  ConfigurationPtr Config;
  Backends Servers;
  /// Nodes that share limits and retries with this one, itself included.
  std::size_t LiveNodes = 1;
  /// New requests are refused: the node is about to stop.
  bool RefusesRequests = false;
  std::unordered_map<RequestId, ActiveRequest> ActiveRequests;
  std::unordered_map<CallId, RequestId> Calls;
  std::map<std::string, limits::TokenAccount> Accounts;
  std::map<std::string, RetryShare> Retries;
  /// By service.
  std::map<std::string, PrefillDemand> PrefillDemands;
  retry::Quarantine Quarantine;
  CallId NextCall = 1;
  std::uint64_t NextClaim = 1;
};

State makeState(Options options);

/// Takes a configuration into force; an older version than the present one is ignored. Returns true
/// if it was taken.
bool configure(State &state, ConfigurationPtr configuration);

/// This node's work and demand, for the other nodes.
message::BackendLoads buildLoadReport(const State &state, const Now &now);

/// Servers of a service that the reading of prompts for all nodes would keep busy all the time.
/// Absent until this node has seen how fast they read. `told` is the number of nodes that each node
/// reports to; a node of a larger fleet estimates the others from a sample.
std::optional<double> estimateBusyServers(const State &state, const std::string &service,
                                          std::size_t told, const Now &now);

/// The list of backend servers; see applyList().
void onBackendList(State &state, std::span<const BackendEntry> list, bool keepMissing, Effects &out,
                   const Now &now);
/// News from a peer.
void onBackendNews(State &state, const message::BackendNews &news, Effects &out, const Now &now);
void onCrashReport(State &state, const message::CrashReport &report, Effects &out, const Now &now);

/// `arrived` is when the caller's first byte arrived.
void onRequest(State &state, RequestId id, RequestInfo info, TimePoint arrived, Effects &out,
               const Now &now, Random &rng);
void onCallerGone(State &state, RequestId id, Effects &out, const Now &now);

void onBackendHead(State &state, CallId call, const BackendHead &head, Effects &out, const Now &now,
                   Random &rng);
void onBackendBytes(State &state, CallId call, std::string_view bytes, Effects &out,
                    const Now &now);
void onBackendEnd(State &state, CallId call, BackendEnd end, Effects &out, const Now &now,
                  Random &rng);

void onTokenGrant(State &state, const message::TokenGrant &grant, Effects &out, const Now &now,
                  Random &rng);
/// The home of a workspace did not answer a claim.
void onClaimLost(State &state, const std::string &workspace, Effects &out, const Now &now);

/// Gives up requests whose time is over and sends those that wait; every 20 ms or so.
void tick(State &state, Effects &out, const Now &now, Random &rng);

} // namespace chervil::relay

#endif
