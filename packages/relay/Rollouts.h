// What this node does for rollouts of versions: which servers a request may use, and what the
// holder of the duty is told. Use:
//   onRolloutGrant(state, grant, out, now);
//   for (const message::RolloutReport &it : buildRolloutReports(state, node, now)) send(holder,
//   it);
// docs/design/rollouts-and-proofs.md has the rules.
#ifndef CHERVIL_RELAY_ROLLOUTS_H
#define CHERVIL_RELAY_ROLLOUTS_H

#include "base/Time.h"
#include "message/RolloutGrant.h"
#include "message/RolloutReport.h"
#include "relay/Effect.h"
#include "relay/VersionFilter.h"
#include "rollout/NodeShare.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervil::relay {

struct State;

/// A connection that broke during an answer. It is evidence unless the server turns out to have
/// crashed.
struct BrokenAnswer {
  RequestId Request = 0;
  std::string Backend;
  /// See BackendEntry::Born.
  std::uint64_t Born = 0;
  TimePoint At{};
  std::string Route;
  bool Target = false;
  /// See RequestInfo::ContentHash, and the hashes of the shared parts of its prompt.
  std::uint64_t ContentHash = 0;
  std::vector<std::uint64_t> Parts;
  /// Other requests that this node had in flight there.
  unsigned OthersInflight = 0;
  /// The server has crashed, so that it is no evidence.
  bool IsCrash = false;
};

/// The rollout of one service as this node knows it.
struct ServiceRollout {
  rollout::NodeShare Share;
  /// The target was the version in force when this node heard of the order. All versions are used
  /// until the holder's grant says otherwise.
  bool Ignored = false;
  /// Versions that get nothing until an order names them: reverted targets, and those of orders
  /// that were replaced before they were completed.
  VersionSet Excluded;
  /// Those of them whose servers stop because the order was completed, and until when the servers
  /// may still be listed.
  VersionSet Stopping;
  TimePoint StoppingUntil{};
  /// When the holder whose token Share.Grant has was last heard.
  TimePoint Heard{};
  std::vector<BrokenAnswer> Broken;
};

/// By service.
using Rollouts = std::map<std::string, ServiceRollout>;

/// Smoothed times of good answers of the old version, in ms.
struct UsualTime {
  /// Of the whole answer, or of an event in streams.
  double Answer = 0;
  /// From the send to the head of the answer.
  double Head = 0;
  unsigned Answers = 0;
};
/// By service and route.
using UsualTimes = std::map<std::pair<std::string, std::string>, UsualTime>;

/// Servers of a service that are listed and not leaving.
struct VersionCapacity {
  std::uint64_t TargetSlots = 0;
  std::uint64_t OldSlots = 0;
  std::size_t TargetServers = 0;
  std::size_t OldServers = 0;
};

/// Handles a grant or a notice of the holder, or an order that was read in the store (token 0).
/// Returns true if it is new. Does nothing unless Options::Rollouts is set.
bool onRolloutGrant(State &state, const message::RolloutGrant &grant, Effects &out, const Now &now);

/// Returns the reports that are to be sent to the holder now, one for each service with an open
/// order. Gives up the units that are left of the last grants.
std::vector<message::RolloutReport> buildRolloutReports(State &state, const std::string &node,
                                                        const Now &now);

/// Returns what the servers of the target and of all other versions can run.
VersionCapacity capacityOf(const State &state, const std::string &service,
                           const std::string &target);

} // namespace chervil::relay

#endif
