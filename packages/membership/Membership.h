// SWIM-style membership with gossip (docs/design.md, section 5). Use:
//   State state = start(self, seeds, options, now);
//   Effects effects = tick(state, now, rng);             // about every 50 ms
//   effects = onPing(state, sender, address, ping, now, rng);
// All functions of one State must run on one thread. They never block. The protocol tolerates loss,
// delay and duplication of the messages in the effects. No function reports an error: invalid
// updates are ignored.
#ifndef CHERVIL_MEMBERSHIP_MEMBERSHIP_H
#define CHERVIL_MEMBERSHIP_MEMBERSHIP_H

#include "base/Random.h"
#include "membership/Effects.h"
#include "membership/State.h"

#include <span>

namespace chervil::membership {

/// One entry of the VM list, or one reclaim notice.
struct VmNotice {
  /// Name of the VM, which is the name of the node that runs on it.
  std::string Name;
  bool Leaving = false;
  /// When the VM stops; WallTime{} if unknown.
  WallTime LeaveBy{};
};

/// Returns the state of a starting node. `self` holds its id, region, data centre and addresses.
/// `seeds` are peer addresses, of which at least one should be reachable. The node's own address
/// among them is ignored.
State start(message::MemberUpdate self, std::vector<std::string> seeds, const Options &options,
            const Now &now);

/// Sends the probes and gossip that are due, declares suspected members dead when their time is
/// over and removes members that have been dead for DeadRetention. After a pause of this process
/// the time of suspected members starts again, because the pause may be why acknowledgements are
/// missing.
Effects tick(State &state, const Now &now, Random &rng);

/// `address` is the peer address of the sender, to which the answer is sent. A Ping with Seq 0 is
/// not answered.
Effects onPing(State &state, const NodeId &sender, const std::string &address,
               const message::Ping &ping, const Now &now, Random &rng);
/// Probes the target on behalf of the sender; its acknowledgement is relayed to `address`.
Effects onPingRequest(State &state, const NodeId &sender, const std::string &address,
                      const message::PingRequest &request, const Now &now, Random &rng);
/// Ends the current probe, or relays the acknowledgement of a probe sent on behalf of a peer.
Effects onAck(State &state, const NodeId &sender, const std::string &address,
              const message::Ack &ack, const Now &now, Random &rng);

/// Merges the members sent by a peer. If the message holds digest buckets, answers with the members
/// in the buckets that differ.
Effects onExchange(State &state, const NodeId &sender, const std::string &address,
                   const message::MemberExchange &exchange, const Now &now);

/// Marks this node as leaving and sends the update to other members at once. A deadline later than
/// the one already announced has no effect.
Effects announceLeaving(State &state, WallTime leaveBy, const Now &now, Random &rng);

/// Marks the newest known incarnation of each leaving VM as leaving. The VM list lags behind, so
/// two kinds of entries are ignored: those whose deadline is before the start of the incarnation,
/// because they are about an earlier VM of that name, and those that are not leaving.
Effects applyVmNotices(State &state, std::span<const VmNotice> notices, const Now &now);

/// Sets the load of this node in percent. The value is carried only by this node's own messages.
/// Other nodes forward it only when the node becomes overloaded or ceases to be, which bounds the
/// traffic.
void setLoad(State &state, std::uint8_t load, const Now &now);

} // namespace chervil::membership

#endif
