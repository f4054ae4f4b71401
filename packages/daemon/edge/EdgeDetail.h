// What the files of Edge share. Internal to the daemon.
#ifndef CHERVIL_DAEMON_EDGE_EDGEDETAIL_H
#define CHERVIL_DAEMON_EDGE_EDGEDETAIL_H

#include "daemon/edge/Edge.h"

namespace chervil::daemon::detail {

/// Nodes that are told of this node's work in one round. Bounds the traffic of large fleets, where
/// each node then knows a sample.
inline constexpr std::size_t MaxLoadPeers = 16;

/// Runs `work` now, or after the work under way. Its effects are carried out afterwards.
void handle(Edge &edge, std::function<void(relay::Effects &, const Now &)> work);

/// Carries out the effects of decisions (EdgeEffects.cpp).
void carryOut(Edge &edge, const relay::Effects &effects);

void logLine(Edge &edge, const char *part, const char *event, const LogValues &values);

// EdgePeers.cpp
Result<void> startPeers(Edge &edge);
void tickPeers(Edge &edge);
void spread(Edge &edge, const message::Message &m);
/// Does nothing for a member that is not known.
void sendTo(Edge &edge, const NodeId &to, const message::Message &m);
/// Live members without this node.
std::vector<NodeId> otherMembers(const Edge &edge);
/// Sends the usage counted here to the holder of the duty.
void reportUsage(Edge &edge);
void setHolderIfNewer(Edge &edge, const message::DutyHolderAnnouncement &announcement);
/// As the holder, tells nodes that do not report where to report.
void announceHolder(Edge &edge);

// EdgeLimits.cpp
/// Claims tokens for a workspace from the home of its limit.
void claimTokens(Edge &edge, const relay::ClaimTokens &claim);
/// Claims the send of a request from the home of the limit of its server.
void claimSend(Edge &edge, message::SendClaim claim);
/// Answers a claim of another node, which takes this one for the home or its fallback.
message::TokenGrant answerClaim(Edge &edge, const message::TokenClaim &claim);
message::SendGrant answerClaim(Edge &edge, const message::SendClaim &claim);
void onTokenGrant(Edge &edge, const message::TokenGrant &grant);
void onSendGrant(Edge &edge, const message::SendGrant &grant);
/// Passes over a node as home of limits for a while: it cannot be reached.
void avoidHome(Edge &edge, const std::string &peerAddress);
/// Repeats claims that were not answered, at another node.
void checkClaims(Edge &edge);
/// As the home of limits of servers, tells random peers which servers have one.
void shareLimits(Edge &edge);

// EdgeConfiguration.cpp
inline constexpr const char *ConfigurationName = "operators/configuration";
/// Takes a configuration into force if it is newer, and passes it on. `version` is 0 if only the
/// body tells it. Returns whether it is in force now because of this call.
bool applyConfiguration(Edge &edge, std::uint64_t version, const std::string &body,
                        const char *source);
/// Tells all other nodes which configuration the store has confirmed to be the newest, and when.
void announceConfiguration(Edge &edge);
/// Handles a peer's copy of the configuration. The document store holds only configurations that
/// are in force, so that an unreadable copy does not pass for the version that it names.
void onConfigurationUpdate(Edge &edge, const message::DocUpdate &m, const Now &now);
void onConfigurationStatus(Edge &edge, const NodeId &from, const message::ConfigurationStatus &m,
                           const Now &now);

// EdgeParts.cpp
/// Keeps news of a node of another group for the nodes of the own group.
void forwardParts(Edge &edge, const NodeId &from, const message::CachedPromptParts &m);
/// Tells other nodes which servers have read which shared parts for this one, and what other groups
/// have told it.
void shareParts(Edge &edge, const Now &now);

// EdgePlatform.cpp
/// The answer to a call to the platform.
struct PlatformAnswer {
  /// 0 if there was none.
  int Status = 0;
  std::string Body;
  /// The store's era; see noteEra().
  std::uint64_t Era = 0;
  http::Failure Failure = http::Failure::None;
};
using OnAnswer = std::function<void(const PlatformAnswer &answer)>;
/// Calls the platform and collects the answer. Returns the id of the call.
std::uint64_t callPlatform(Edge &edge, http::Call what, OnAnswer onAnswer);
/// Handles the era of an answer of the store, or of a message from a peer. The store may come back
/// from an older copy: its revisions go back and are given out again, and each return starts a new
/// era.
void noteEra(Edge &edge, std::uint64_t era, const char *source);
/// True if the answer to a call that began in the era `begun`, 0 if unknown, belongs to `current`.
inline bool isSameEra(std::uint64_t current, std::uint64_t begun) {
  return begun == 0 || begun == current;
}

// EdgeStore.cpp
void tickStore(Edge &edge);
/// Reads all items of the store again, which has come back from an older copy.
void onStoreRestored(Edge &edge);
/// Remaining time in which an entry may be missing because the store was away; 0 if none.
Duration returnTimeLeft(const Edge &edge, const Now &now);
/// True if this node is one of those that watch the store and read the list for all.
bool isWatcher(const Edge &edge);
const store::Item *holderItem(const Edge &edge);

// EdgeList.cpp
/// The store was read: takes the list into use and tells the other nodes.
void onListRead(Edge &edge, std::vector<relay::BackendEntry> list, bool keepMissing);
void onListDelta(Edge &edge, const std::string &from, const message::BackendListDelta &delta);
void onListRequest(Edge &edge, const std::string &from, const message::BackendListRequest &request);
void onListCopy(Edge &edge, const message::BackendListCopy &copy);
/// A node that knows of no reading for a while, or has just started, asks peers for their list.
void askForList(Edge &edge);

// EdgeDuty.cpp
void tickDuty(Edge &edge);

// EdgeRollouts.cpp
/// The items of the operators were read: handles orders of rollouts that are new or gone.
void onRolloutOrders(Edge &edge);
/// Handles a grant or notice of the holder, or an order that a peer has read.
void onRolloutGrant(Edge &edge, const message::RolloutGrant &grant);
/// Sends the reports of open rollouts to the holder when they are due.
void tickRolloutReports(Edge &edge);
/// Logs if a bad version cannot be left within the time that the settings demand.
void checkRolloutSettings(Edge &edge);
/// The store has come back from an older copy.
void onRolloutsRestored(Edge &edge);

// EdgeRolloutContact.cpp
/// Follows rollouts in the store while the holder answers no report of this node.
void tickRolloutContact(Edge &edge);

// EdgeRolloutHolder.cpp
/// Returns the grant for the report of a node; nothing unless this node holds the duty and conducts
/// the rollout.
std::optional<message::RolloutGrant> answerRolloutReport(Edge &edge,
                                                         const message::RolloutReport &report);
void setRolloutGauges(Edge &edge);

// EdgeServers.cpp
/// Sockets that the settings allow.
std::size_t maxSockets(const Edge &edge);
Result<void> startServers(Edge &edge);
http::ServerLimits limitsOf(const relay::CallerLimits &limits);

/// Name of this node with its start, unique over restarts.
std::string selfKey(const Edge &edge);
/// The same of any node.
std::string nodeKey(const NodeId &id);

} // namespace chervil::daemon::detail

#endif
