// Everything a node knows. Changed only by handle() in Node.h.
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

/// The part of the state that belongs to the holder of duty/shards.
struct ShardDutyState {
  bool Held = false;
  std::uint64_t MapRevision = 0;
  bool Writing = false;
  TimePoint NextWrite{};
  /// Reports of complete standbys that are not yet in the map.
  std::map<NodeId, message::StandbyReady> Ready;
};

/// A request for confirmation sent to the standby of a shard.
struct SentProbe {
  std::uint64_t Seq = 0;
  std::uint64_t Epoch = 0;
  TimePoint At{};
};

/// Limits of customers: what this node may admit, and the shares it grants as limit home.
struct LimitsState {
  limits::NodeLimits Node;
  limits::LimitHome Home;
  /// Latest probe by shard.
  std::map<std::uint32_t, SentProbe> Probes;
  std::uint64_t NextSeq = 1;
  TimePoint NextReport{};
};

/// A crash report that is being passed on.
struct PendingCrashReport {
  message::CrashReport Report;
  unsigned RoundsLeft = 0;
};

/// Set once the node is to stop.
struct LeavingState {
  WallTime By{};
  TimePoint HandoverAt{};
  bool HandingOver = false;
  bool StoppedSent = false;
};

struct State {
  Options Settings;
  NodeId Self;
  std::string DataCentre;
  membership::State Members;
  config::Store Documents;
  std::map<std::string, Contract> Contracts;
  /// Customers by bearer token, filled as tokens are seen.
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
  /// VMs that the platform's list shows as gone, with the latest time for which it does; bounded.
  std::map<std::string, WallTime> DeletedVms;
  std::optional<LeavingState> Leaving;

  std::unordered_map<std::uint64_t, Call> Calls;
  std::unordered_map<RequestKey, std::vector<std::uint64_t>, RequestKeyHash> CallsByKey;
  /// Handles of calls by fetch number.
  std::unordered_map<std::uint64_t, std::uint64_t> Readers;
  std::unordered_map<RequestKey, Execution, RequestKeyHash> Executions;
  /// Keys of executions by back-end call.
  std::unordered_map<std::uint64_t, RequestKey> BackendCalls;
  GrantLog Grants;
  std::uint64_t NextReader = 1;
  std::uint64_t NextBackendCall = 1;
  TimePoint NextSlowTick{};
  TimePoint NextGossip{};
};

} // namespace chervil::node

#endif
