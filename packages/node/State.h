// The state of a node. Changed only by handleEvent() in Node.h.
#ifndef CHERVIL_NODE_STATE_H
#define CHERVIL_NODE_STATE_H

#include "config/Store.h"
#include "contract/Contract.h"
#include "limits/LimitHome.h"
#include "limits/NodeLimits.h"
#include "membership/Membership.h"
#include "membership/Queries.h"
#include "node/Call.h"
#include "node/Execution.h"
#include "node/GrantLog.h"
#include "node/Options.h"
#include "record/State.h"
#include "retry/Budget.h"
#include "retry/Quarantine.h"
#include "routing/Routing.h"
#include "shard/ShardMap.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervil::node {

/// State of the duty/shards lease and of its holder.
struct ShardDutyState {
  bool Held = false;
  /// Last known revision of shards/map; 0 if it does not exist.
  std::uint64_t MapRevision = 0;
  /// True while a write of the shard map has not been answered.
  bool Writing = false;
  TimePoint NextWrite{};
  /// Reports of complete standbys that are not in the map yet, by sender.
  std::map<NodeId, message::StandbyReady> Ready;
};

/// An EpochProbe that was sent to the standby of a shard.
struct SentProbe {
  std::uint64_t Seq = 0;
  std::uint64_t Epoch = 0;
  TimePoint At{};
};

/// Limits of customers: what this node may admit, and the shares that it grants as limit home.
struct LimitsState {
  limits::NodeLimits Node;
  limits::LimitHome Home;
  /// Latest probe of each shard.
  std::map<std::uint32_t, SentProbe> Probes;
  std::uint64_t NextSeq = 1;
  TimePoint NextReport{};
};

/// A crash report that is being forwarded by gossip.
struct PendingCrashReport {
  message::CrashReport Report;
  unsigned RoundsLeft = 0;
};

/// State of a node that is leaving.
struct LeavingState {
  /// When the node must stop, and when it starts to hand over its executions.
  WallTime By{};
  TimePoint HandoverAt{};
  bool HandingOver = false;
  /// True if the Stopped effect has been emitted.
  bool StoppedSent = false;
};

/// The state of a node.
struct State {
  Options Settings;
  NodeId Self;
  std::string DataCentre;
  membership::State Members;
  config::Store Documents;
  std::map<std::string, Contract> Contracts;
  /// Cache of customers by bearer token.
  std::unordered_map<std::string, std::string> Tokens;
  shard::ShardMap Map;
  record::State Records;
  routing::State Routes;
  ShardDutyState Duty;
  LimitsState Limits;
  retry::Budgets RetryBudgets;
  retry::Quarantine Quarantined;
  std::vector<PendingCrashReport> Crashes;
  TimePoint NextPrune{};
  /// Names of deleted VMs, with the latest time at which the platform's list showed them as
  /// deleted. Bounded.
  std::map<std::string, WallTime> DeletedVms;
  /// Set once the node must leave.
  std::optional<LeavingState> Leaving;

  /// Calls by handle, and the handles by key.
  std::unordered_map<std::uint64_t, Call> Calls;
  std::unordered_map<RequestKey, std::vector<std::uint64_t>, RequestKeyHash> CallsByKey;
  /// Handles of calls by reader number.
  std::unordered_map<std::uint64_t, std::uint64_t> Readers;
  std::unordered_map<RequestKey, Execution, RequestKeyHash> Executions;
  /// Keys of executions by number of the back-end call.
  std::unordered_map<std::uint64_t, RequestKey> BackendCalls;
  GrantLog Grants;
  std::uint64_t NextReader = 1;
  std::uint64_t NextBackendCall = 1;
  TimePoint NextSlowTick{};
  TimePoint NextGossip{};
};

} // namespace chervil::node

#endif
