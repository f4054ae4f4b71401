// The member list as one node knows it. Filled by start(); read through Queries.h.
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

/// The newest known incarnation of one name.
struct Member {
  /// State is Leaving only for a member that is neither suspected nor dead; LeaveBy is kept in
  /// every state and is never removed. Addresses are empty until a full update arrives.
  message::MemberUpdate Info;
  TimePoint FirstSeen;
  /// When the member entered its present state.
  TimePoint StateSince;
  /// Confirming probes sent since the member was suspected.
  std::size_t ConfirmingProbes = 0;
};

/// The probe of the current period.
struct Probe {
  NodeId Target;
  std::uint64_t Seq = 0;
  TimePoint SentAt;
  bool Indirect = false;
  bool Active = false;
};

/// A probe sent on behalf of another member.
struct RelayedProbe {
  std::uint64_t Seq = 0;
  std::uint64_t RequestSeq = 0;
  std::string RequesterAddress;
  NodeId Target;
  TimePoint SentAt;
};

struct State {
  Options Settings;
  std::string SelfName;
  std::vector<std::string> Seeds;
  /// By name; includes this node and dead members within the retention time. Contiguous, because
  /// walking a std::map of 320 members took most of the time. Insertion moves members.
  boost::container::flat_map<std::string, Member> Members;
  /// Names with news, with the number of messages that carried it.
  std::map<std::string, std::size_t> GossipQueue;
  /// Names of leaving members being pushed, with the number of rounds done.
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
  /// Part of the member list that the next message repeats; differs between nodes.
  std::uint64_t NextRepair = 0;
  bool Overloaded = false;
  /// True once any peer has been heard.
  bool PeerHeard = false;
  /// True once a newer incarnation of this node's name was seen; this process should stop.
  bool Replaced = false;
  /// Sent in Ping and Ack; set by the owner of the state to the hash of its documents.
  std::uint64_t DocsHash = 0;
  /// Digest of Members, valid unless DigestStale.
  Digest ListDigest;
  bool DigestStale = true;
  /// When the digest last changed.
  TimePoint ListChangedAt;
  TimePoint NextExchange;
  /// Peers that held the same list since it last grew; used until Settled.
  std::set<std::string> AgreeingPeers;
  bool Settled = false;
  /// By region: when a member of it was last heard, directly or through others.
  std::map<std::string, TimePoint> RegionHeardAt;
};

} // namespace chervil::membership

#endif
