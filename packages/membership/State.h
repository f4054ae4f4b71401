// The member list of one node and the state of the membership protocol. Created by start(), read
// through Queries.h.
#ifndef CHERVIL_MEMBERSHIP_STATE_H
#define CHERVIL_MEMBERSHIP_STATE_H

#include "membership/Digest.h"
#include "membership/Options.h"
#include "message/MemberUpdate.h"

#include <boost/container/flat_map.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervil::membership {

/// The newest known incarnation of a node name.
struct Member {
  /// State is Leaving only for a leaving member that is neither suspected nor dead. LeaveBy is kept
  /// in every state and is never cleared. Region, data centre and addresses are empty until an
  /// update that has them arrives.
  message::MemberUpdate Info;
  TimePoint FirstSeen;
  /// When the member entered its current state.
  TimePoint StateSince;
  /// Confirming probes sent since the member was suspected.
  std::size_t ConfirmingProbes = 0;
};

/// The probe of the current period.
struct Probe {
  NodeId Target;
  std::uint64_t Seq = 0;
  TimePoint SentAt;
  /// True once indirect probes were sent.
  bool Indirect = false;
  /// True until the probe is acknowledged or abandoned.
  bool Active = false;
};

/// A probe sent on behalf of another member.
struct RelayedProbe {
  /// Sequence number of the ping to the target.
  std::uint64_t Seq = 0;
  /// Sequence number of the request, repeated in the acknowledgement to the requester.
  std::uint64_t RequestSeq = 0;
  std::string RequesterAddress;
  NodeId Target;
  TimePoint SentAt;
};

/// All state of the protocol. The Next... times say when an action is due next.
struct State {
  Options Settings;
  std::string SelfName;
  /// Peer addresses of the seeds, without this node's own.
  std::vector<std::string> Seeds;
  /// By name. Includes this node, and dead members until DeadRetention has passed. Stored
  /// contiguously, because iterating over a std::map of 320 members took most of the time.
  /// Insertion moves members, so pointers to them become invalid.
  boost::container::flat_map<std::string, Member> Members;
  /// Names of members with updates to gossip, with the number of messages that have carried the
  /// update.
  std::map<std::string, std::size_t> GossipQueue;
  /// Names of leaving members whose state is pushed, with the number of rounds done.
  std::map<std::string, std::size_t> LeavingPushes;
  Probe CurrentProbe;
  std::vector<RelayedProbe> RelayedProbes;
  std::uint64_t NextSeq = 1;
  TimePoint StartedAt;
  TimePoint LastTick;
  TimePoint NextProbe;
  TimePoint NextPush;
  TimePoint NextJoin;
  TimePoint NextReconnect;
  TimePoint NextUrgentGossip;
  TimePoint NextExpiry;
  TimePoint LastLoadAnnouncement;
  /// Index of the part of the member list that the next message repeats. The first value differs
  /// between nodes.
  std::uint64_t NextRepair = 0;
  /// True if this node has announced that it is overloaded.
  bool Overloaded = false;
  /// True once a message from any peer was received.
  bool PeerHeard = false;
  /// True once a newer incarnation of this node's name was seen. This process should then stop.
  bool Replaced = false;
  /// Hash of this node's documents, sent in Ping and Ack. Set by the owner of the state.
  std::uint64_t DocsHash = 0;
  /// Digest of Members; out of date while DigestStale is true.
  Digest ListDigest;
  bool DigestStale = true;
  /// When the digest last changed.
  TimePoint ListChangedAt;
  TimePoint NextExchange;
  /// Names of peers that held the same list since a member was last added. Not used once Settled is
  /// true.
  std::set<std::string> AgreeingPeers;
  bool Settled = false;
  /// By region: when a message or a refutation of one of its members was last received, directly or
  /// through other members.
  std::map<std::string, TimePoint> RegionHeardAt;
};

} // namespace chervil::membership

#endif
