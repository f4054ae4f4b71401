// SWIM-style membership (docs/design.md, section 5). Use:
//   State state = start(self, seeds, options, now);
//   Effects effects = tick(state, now, rng);             // about every 50 ms
//   effects = onPing(state, sender, address, ping, now, rng);
// All functions run on one thread and never block. Messages in the effects may be lost, delayed or
// duplicated without harm. No function reports an error: unusable updates are ignored.
#ifndef CHERVIL_MEMBERSHIP_MEMBERSHIP_H
#define CHERVIL_MEMBERSHIP_MEMBERSHIP_H

#include "base/Random.h"
#include "membership/Effects.h"
#include "membership/State.h"

#include <span>

namespace chervil::membership {

/// One line of the VM list or one reclaim notice.
struct VmNotice {
  /// Name of the VM, which is the name of the node that runs on it.
  std::string Name;
  bool Leaving = false;
  /// When the VM stops; the epoch when unknown.
  WallTime LeaveBy{};
};

/// `self` holds the id, place and addresses of this node. `seeds` are peer addresses of which at
/// least one should be reachable; the node's own address among them is ignored.
State start(message::MemberUpdate self, std::vector<std::string> seeds, const Options &options,
            const Now &now);

/// Sends due probes, pushes and reconnects; expires suspicions and forgets the dead. After a pause
/// of this process, suspicions are restarted, because the missing acks were its own fault.
Effects tick(State &state, const Now &now, Random &rng);

/// `address` is the peer address of the sender; answers go to it. A Ping with Seq 0 has no answer.
Effects onPing(State &state, const NodeId &sender, const std::string &address,
               const message::Ping &ping, const Now &now, Random &rng);
Effects onPingRequest(State &state, const NodeId &sender, const std::string &address,
                      const message::PingRequest &request, const Now &now, Random &rng);
Effects onAck(State &state, const NodeId &sender, const std::string &address,
              const message::Ack &ack, const Now &now, Random &rng);

/// Merges the members of a peer and answers with those that the peer lacks or holds differently.
Effects onExchange(State &state, const NodeId &sender, const std::string &address,
                   const message::MemberExchange &exchange, const Now &now);

/// Marks this node as leaving and pushes the news at once. A later deadline than one already
/// announced has no effect.
Effects announceLeaving(State &state, WallTime leaveBy, const Now &now, Random &rng);

/// Marks the present incarnation of each leaving VM as leaving. A notice whose deadline lies before
/// the start of the incarnation belongs to an earlier VM of that name and is ignored, as are VMs
/// that are not leaving: the list lags.
Effects applyVmNotices(State &state, std::span<const VmNotice> notices, const Now &now);

/// Load of this node in percent. The value travels with this node's own messages; only the change
/// between overloaded and relieved is disseminated by others, which bounds the traffic.
void setLoad(State &state, std::uint8_t load, const Now &now);

} // namespace chervil::membership

#endif
