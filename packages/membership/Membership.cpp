#include "membership/Membership.h"

#include "base/Hash.h"
#include "membership/Queries.h"

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace chervil::membership {

using message::MemberState;
using message::MemberUpdate;

namespace {

/// Interval between searches for suspicions and dead members that have expired. Suspicions last
/// seconds, so checking all members on every tick would be needless work.
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(500);

/// Precedence of a state among updates with equal refutation counters: a higher one overrides.
int precedenceOf(MemberState state) {
  switch (state) {
  case MemberState::Suspect:
    return 1;
  case MemberState::Dead:
    return 2;
  default:
    return 0;
  }
}

/// The state of a member that is neither suspected nor dead.
MemberState liveState(const MemberUpdate &info) {
  return info.LeaveBy != WallTime{} ? MemberState::Leaving : MemberState::Alive;
}

/// True for updates that are sent first: all but joins. A node also learns of a join when the
/// joining node contacts it.
bool isUrgent(const MemberUpdate &info) {
  return info.State != MemberState::Alive || info.Refutation > 0;
}

/// Number of messages in which this node gossips one update. With about log2(n) + ln(n) messages to
/// random receivers, an update reaches all n members.
std::size_t sendLimit(const State &state, const MemberUpdate &info) {
  const auto rounds = static_cast<std::size_t>(std::bit_width(state.Members.size()));
  return isUrgent(info) ? 2 * rounds : rounds;
}

/// Copies an update without region, data centre and addresses, to save bytes.
MemberUpdate withoutAddresses(const MemberUpdate &info) {
  MemberUpdate u = info;
  u.Region.clear();
  u.DataCentre.clear();
  u.PeerAddress.clear();
  u.CallerAddress.clear();
  return u;
}

/// The update to gossip about a member. It has addresses only if the receiver may not know the
/// member.
MemberUpdate makeGossipUpdate(const State &state, const Member &member, TimePoint now) {
  const bool recent = now - member.FirstSeen < state.Settings.FullUpdateTime;
  return member.Info.State == MemberState::Alive && recent ? member.Info
                                                           : withoutAddresses(member.Info);
}

/// Returns the digest of the member list, recomputed if it is out of date.
const Digest &refreshDigest(State &state, const Now &now) {
  if (!std::exchange(state.DigestStale, false))
    return state.ListDigest;
  const std::uint64_t before = state.ListDigest.Hash;
  state.ListDigest = makeDigest(state);
  if (state.ListDigest.Hash != before)
    state.ListChangedAt = now.Steady;
  return state.ListDigest;
}

/// Records that something from the region was received.
void recordRegionHeard(State &state, const std::string &region, const Now &now) {
  if (!region.empty())
    state.RegionHeardAt[region] = now.Steady;
}

/// Counts a received update that this node has queued too like a message that it sent itself.
/// Without this, each suspicion and refutation was sent 18 times by each of 320 nodes.
void countReceivedUpdate(State &state, const std::string &name) {
  const auto it = state.GossipQueue.find(name);
  if (it != state.GossipQueue.end() &&
      ++it->second >= sendLimit(state, state.Members.at(name).Info))
    state.GossipQueue.erase(it);
}

/// Queues an update about a member. This node itself is never queued: every probe and
/// acknowledgement carries its state.
void enqueue(State &state, const std::string &name) {
  if (name != state.SelfName)
    state.GossipQueue[name] = 0;
}

void enqueueLeaving(State &state, const std::string &name) {
  enqueue(state, name);
  state.LeavingPushes[name] = 0;
}

void setState(State &state, Member &member, MemberState next, const Now &now, Effects &effects) {
  if (member.Info.State != next) {
    member.Info.State = next;
    member.StateSince = now.Steady;
    member.ConfirmingProbes = 0;
    state.DigestStale = true;
    effects.Changes.push_back({member.Info.Id, next});
  }
  enqueue(state, member.Info.Id.Name);
}

/// Keeps the earlier of both deadlines. Returns true if the deadline of `info` changed.
bool mergeLeaveBy(MemberUpdate &info, WallTime leaveBy) {
  if (leaveBy == WallTime{} || (info.LeaveBy != WallTime{} && info.LeaveBy <= leaveBy))
    return false;
  info.LeaveBy = leaveBy;
  return true;
}

/// Fills in region, data centre and addresses from `u`. Returns true if they were missing before.
bool fillAddresses(MemberUpdate &info, const MemberUpdate &u) {
  if (!info.PeerAddress.empty() || u.PeerAddress.empty())
    return false;
  info.Region = u.Region;
  info.DataCentre = u.DataCentre;
  info.PeerAddress = u.PeerAddress;
  info.CallerAddress = u.CallerAddress;
  return true;
}

/// Merges a leaving deadline, and pushes the update if the deadline changed.
void markLeaving(State &state, Member &member, WallTime leaveBy, const Now &now, Effects &effects) {
  if (!mergeLeaveBy(member.Info, leaveBy))
    return;
  if (member.Info.State == MemberState::Alive)
    setState(state, member, MemberState::Leaving, now, effects);
  state.DigestStale = true;
  enqueueLeaving(state, member.Info.Id.Name);
}

/// Merges an update about this node. Returns true if this node raised its refutation counter.
bool mergeSelfUpdate(State &state, const MemberUpdate &u, WallTime leaveBy, const Now &now,
                     Effects &effects) {
  Member &me = state.Members.at(state.SelfName);
  if (u.Id.Incarnation > me.Info.Id.Incarnation) {
    if (!std::exchange(state.Replaced, true))
      effects.Changes.push_back({me.Info.Id, MemberState::Dead});
    return false;
  }
  if (u.Id != me.Info.Id)
    return false;
  markLeaving(state, me, leaveBy, now, effects);
  const bool mustRefute = precedenceOf(u.State) > 0 && u.Refutation >= me.Info.Refutation;
  if (!mustRefute)
    return false;
  me.Info.Refutation = u.Refutation + 1;
  return true;
}

void addMember(State &state, const MemberUpdate &u, WallTime leaveBy, const Now &now,
               Effects &effects) {
  Member member{u, now.Steady, now.Steady};
  member.Info.LeaveBy = leaveBy;
  if (precedenceOf(u.State) == 0)
    member.Info.State = liveState(member.Info);
  if (member.Info.State != MemberState::Dead)
    effects.Changes.push_back({u.Id, member.Info.State});
  state.LeavingPushes.erase(u.Id.Name);
  enqueue(state, u.Id.Name);
  if (leaveBy != WallTime{} && member.Info.State != MemberState::Dead)
    enqueueLeaving(state, u.Id.Name);
  recordRegionHeard(state, u.Region, now);
  state.Members[u.Id.Name] = std::move(member);
  state.DigestStale = true;
  // The list was incomplete when these peers held the same one.
  state.AgreeingPeers.clear();
}

/// Merges one update. `direct` is true if the member itself sent it. Returns true if this node
/// refuted an update about itself.
bool mergeUpdate(State &state, const MemberUpdate &u, bool direct, const Now &now,
                 Effects &effects) {
  if (!isSet(u.Id) || u.Id.Name.empty())
    return false;
  WallTime leaveBy = u.LeaveBy;
  if (u.State == MemberState::Leaving && leaveBy == WallTime{})
    leaveBy = now.Wall;
  if (u.Id.Name == state.SelfName)
    return mergeSelfUpdate(state, u, leaveBy, now, effects);
  const auto it = state.Members.find(u.Id.Name);
  if (it == state.Members.end()) {
    // A dead member that was removed here must not be gossiped again.
    if (u.State != MemberState::Dead)
      addMember(state, u, leaveBy, now, effects);
    return false;
  }
  Member &known = it->second;
  if (u.Id.Incarnation < known.Info.Id.Incarnation)
    return false;
  if (u.Id.Incarnation > known.Info.Id.Incarnation) {
    if (known.Info.State != MemberState::Dead)
      effects.Changes.push_back({known.Info.Id, MemberState::Dead});
    addMember(state, u, leaveBy, now, effects);
    return false;
  }
  if (fillAddresses(known.Info, u)) {
    state.DigestStale = true;
    state.RegionHeardAt.try_emplace(u.Region, now.Steady);
  }
  const bool newer = u.Refutation > known.Info.Refutation;
  const bool overrides = newer || (u.Refutation == known.Info.Refutation &&
                                   precedenceOf(u.State) > precedenceOf(known.Info.State));
  if (newer || (direct && u.Refutation == known.Info.Refutation))
    known.Info.Load = u.Load;
  markLeaving(state, known, leaveBy, now, effects);
  // Only the member itself raises its counter, so some member has received a message from it.
  if (newer && precedenceOf(u.State) == 0)
    recordRegionHeard(state, known.Info.Region, now);
  const bool same = u.Refutation == known.Info.Refutation &&
                    precedenceOf(u.State) == precedenceOf(known.Info.State) &&
                    leaveBy == known.Info.LeaveBy;
  // Received refutations are not counted: a refutation has to reach every member within
  // SuspicionTime. With fewer messages, 2 of 320 nodes declared a live member dead at 10% loss.
  const bool refutation = precedenceOf(u.State) == 0 && u.Refutation > 0;
  if (!direct && same && !refutation)
    countReceivedUpdate(state, u.Id.Name);
  if (overrides) {
    known.Info.Refutation = u.Refutation;
    setState(state, known, precedenceOf(u.State) > 0 ? u.State : liveState(known.Info), now,
             effects);
  }
  return false;
}

/// Returns the updates to send to the member with the name `receiver`. `window` selects the part of
/// the member list that a joining receiver gets; consecutive values cover the whole list. With
/// `queuedOnly`, leaves out this node and the repair updates.
std::vector<MemberUpdate> collectUpdates(State &state, const std::string &receiver,
                                         std::uint64_t window, const Now &now,
                                         bool queuedOnly = false) {
  const auto max = state.Settings.UpdatesPerMessage;
  std::vector<MemberUpdate> updates;
  if (!queuedOnly)
    updates.push_back(self(state).Info);
  const auto peer = state.Members.find(receiver);
  const bool known = peer != state.Members.end();
  if (known && peer->first != state.SelfName && precedenceOf(peer->second.Info.State) > 0)
    updates.push_back(withoutAddresses(peer->second.Info));
  const bool joining = known && now.Steady - peer->second.FirstSeen < state.Settings.JoinTime;

  const auto countSent = [&](std::map<std::string, std::size_t>::iterator it) {
    if (++it->second >= sendLimit(state, state.Members.at(it->first).Info))
      state.GossipQueue.erase(it);
  };
  const auto appendMembers = [&](std::uint64_t part, std::size_t count) {
    const std::size_t n = state.Members.size();
    count = std::min(count, n);
    auto it = std::next(state.Members.begin(), static_cast<std::ptrdiff_t>((part * count) % n));
    for (std::size_t i = 0; i < count && updates.size() < max; ++i) {
      if (it->first != state.SelfName && it->first != receiver) {
        updates.push_back(it->second.Info);
        if (const auto queued = state.GossipQueue.find(it->first);
            queued != state.GossipQueue.end())
          countSent(queued);
      }
      if (++it == state.Members.end())
        it = state.Members.begin();
    }
  };
  // Repeated members come before queued updates, which can fill messages for minutes.
  if (joining)
    appendMembers(window, max - 2);
  else if (!queuedOnly)
    appendMembers(state.NextRepair++, state.Settings.RepairUpdates);

  // Among updates sent equally often, the order differs between nodes, so that not all nodes send
  // the same ones.
  using Rank = std::tuple<bool, std::size_t, std::uint64_t>;
  std::vector<std::pair<Rank, const std::string *>> queued;
  queued.reserve(state.GossipQueue.size());
  for (const auto &[name, sent] : state.GossipQueue)
    if (name != receiver)
      queued.push_back(
          {{!isUrgent(state.Members.at(name).Info), sent, hashPair(state.SelfName, name)}, &name});
  const std::size_t freeSlots = max - std::min(max, updates.size());
  const std::size_t count = std::min(freeSlots, queued.size());
  std::ranges::partial_sort(queued, queued.begin() + static_cast<std::ptrdiff_t>(count), {},
                            [](const auto &it) { return it.first; });
  for (std::size_t i = 0; i < count; ++i) {
    const auto it = state.GossipQueue.find(*queued[i].second);
    updates.push_back(makeGossipUpdate(state, state.Members.at(it->first), now.Steady));
    countSent(it);
  }
  return updates;
}

message::Ping makePing(State &state, std::uint64_t seq, std::vector<MemberUpdate> updates,
                       const Now &now) {
  const Digest &list = refreshDigest(state, now);
  return {seq, std::move(updates), state.DocsHash, list.Count, list.Hash};
}

void sendPing(State &state, const std::string &name, const std::string &address, std::uint64_t seq,
              const Now &now, Effects &effects) {
  effects.Messages.push_back(
      {address, makePing(state, seq, collectUpdates(state, name, seq, now), now)});
}

/// Returns up to `count` different random live members, without this node and the member with the
/// name `except`.
std::vector<const Member *> sampleMembers(const State &state, std::size_t count,
                                          const std::string &except, Random &rng) {
  std::vector<const Member *> from = live(state);
  std::erase_if(from, [&](const Member *it) {
    return it->Info.Id.Name == state.SelfName || it->Info.Id.Name == except;
  });
  std::vector<const Member *> picked;
  std::ranges::sample(from, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count), rng);
  return picked;
}

void startSuspicion(State &state, const NodeId &id, const Now &now, Effects &effects) {
  const auto it = state.Members.find(id.Name);
  if (it == state.Members.end() || it->second.Info.Id != id ||
      precedenceOf(it->second.Info.State) > 0)
    return;
  setState(state, it->second, MemberState::Suspect, now, effects);
  // The suspected member is told at once, so that it has the whole SuspicionTime to refute.
  sendPing(state, id.Name, it->second.Info.PeerAddress, state.NextSeq++, now, effects);
}

/// Returns one random live member of the region from which nothing was received for the longest
/// time, if that is at least RegionProbeDelay. Random probes of a large fleet rarely hit a small
/// region.
std::vector<const Member *> sampleSilentRegion(const State &state, const Now &now, Random &rng) {
  const std::string &own = self(state).Info.Region;
  std::vector<std::pair<TimePoint, std::string>> silent;
  for (const auto &[region, at] : state.RegionHeardAt)
    if (region != own && now.Steady - at >= state.Settings.RegionProbeDelay)
      silent.emplace_back(at, region);
  std::ranges::sort(silent);
  for (const auto &candidate : silent) {
    const std::string &region = candidate.second;
    std::vector<const Member *> from = live(state);
    std::erase_if(from, [&](const Member *it) { return it->Info.Region != region; });
    std::vector<const Member *> picked;
    std::ranges::sample(from, std::back_inserter(picked), 1, rng);
    if (!picked.empty())
      return picked;
  }
  return {};
}

void startProbe(State &state, const Now &now, Random &rng, Effects &effects) {
  state.CurrentProbe.Active = false;
  auto picked = sampleSilentRegion(state, now, rng);
  if (picked.empty())
    picked = sampleMembers(state, 1, {}, rng);
  if (picked.empty())
    return;
  const std::uint64_t seq = state.NextSeq++;
  const MemberUpdate target = picked.front()->Info;
  state.CurrentProbe = {target.Id, seq, now.Steady, false, true};
  sendPing(state, target.Id.Name, target.PeerAddress, seq, now, effects);
}

void probeIndirectly(State &state, const Now &now, Random &rng, Effects &effects) {
  state.CurrentProbe.Indirect = true;
  const Member *target = find(state, state.CurrentProbe.Target);
  if (target == nullptr) {
    state.CurrentProbe.Active = false;
    return;
  }
  // The direct probe is repeated too: one lost message is no reason for a suspicion.
  sendPing(state, target->Info.Id.Name, target->Info.PeerAddress, state.CurrentProbe.Seq, now,
           effects);
  for (const Member *it :
       sampleMembers(state, state.Settings.IndirectProbes, state.CurrentProbe.Target.Name, rng))
    effects.Messages.push_back(
        {it->Info.PeerAddress,
         message::PingRequest{
             state.CurrentProbe.Seq, state.CurrentProbe.Target,
             collectUpdates(state, it->Info.Id.Name, state.CurrentProbe.Seq, now)}});
}

/// Sends indirect probes after ProbeTimeout; after ProbePeriod, suspects the target if it has not
/// answered and starts the next probe.
void advanceProbe(State &state, const Now &now, Random &rng, Effects &effects) {
  Probe &current = state.CurrentProbe;
  if (current.Active && !current.Indirect &&
      now.Steady - current.SentAt >= state.Settings.ProbeTimeout)
    probeIndirectly(state, now, rng, effects);
  if (now.Steady < state.NextProbe)
    return;
  if (current.Active)
    startSuspicion(state, current.Target, now, effects);
  state.NextProbe = now.Steady + state.Settings.ProbePeriod;
  startProbe(state, now, rng, effects);
}

/// One push round: sends each batch of leaving members to PushFanOut random members.
void pushLeaving(State &state, const Now &now, Random &rng, Effects &effects) {
  if (state.LeavingPushes.empty() || now.Steady < state.NextPush)
    return;
  state.NextPush = now.Steady + state.Settings.PushPeriod;
  std::vector<std::pair<std::size_t, std::string>> names;
  for (const auto &[name, rounds] : state.LeavingPushes)
    names.emplace_back(rounds, name);
  std::ranges::sort(names);
  const std::size_t batch = state.Settings.UpdatesPerMessage;
  const std::size_t batches = state.Settings.PushMessages / state.Settings.PushFanOut;
  for (std::size_t b = 0; b < batches && b * batch < names.size(); ++b) {
    message::Ping ping = makePing(state, 0, {}, now);
    for (std::size_t i = b * batch; i < std::min(names.size(), (b + 1) * batch); ++i) {
      const std::string &name = names[i].second;
      ping.Updates.push_back(withoutAddresses(state.Members.at(name).Info));
      if (++state.LeavingPushes[name] >= state.Settings.PushRounds)
        state.LeavingPushes.erase(name);
    }
    for (const Member *it : sampleMembers(state, state.Settings.PushFanOut, {}, rng))
      effects.Messages.push_back({it->Info.PeerAddress, ping});
  }
}

/// Sends additional messages while there are urgent updates that have not been sent often. With the
/// one probe per second alone, a suspicion took 8 s to reach 320 nodes, too long for the refutation
/// to arrive in time.
void gossipUrgentUpdates(State &state, const Now &now, Random &rng, Effects &effects) {
  if (now.Steady < state.NextUrgentGossip)
    return;
  const auto fresh = std::ranges::count_if(state.GossipQueue, [&](const auto &it) {
    const MemberUpdate &info = state.Members.at(it.first).Info;
    return isUrgent(info) && it.second < sendLimit(state, info) / 2;
  });
  const bool many = static_cast<std::size_t>(fresh) > state.Settings.UpdatesPerMessage;
  state.NextUrgentGossip = now.Steady + (many ? 1 : 2) * state.Settings.PushPeriod;
  if (fresh == 0)
    return;
  for (const Member *it : sampleMembers(state, 1, {}, rng))
    effects.Messages.push_back(
        {it->Info.PeerAddress,
         makePing(state, 0, collectUpdates(state, it->Info.Id.Name, 0, now, true), now)});
}

/// The seeds that are not the address of a live member.
std::vector<std::string> unreachedSeeds(const State &state) {
  std::vector<std::string> seeds = state.Seeds;
  for (const Member *it : live(state))
    std::erase(seeds, it->Info.PeerAddress);
  return seeds;
}

/// Probes several members per round after the start, to learn the whole member list from their
/// acknowledgements.
void sendJoinProbes(State &state, const Now &now, Random &rng, Effects &effects) {
  if (now.Steady < state.NextJoin || now.Steady - state.StartedAt >= state.Settings.JoinTime)
    return;
  state.NextJoin = now.Steady + state.Settings.PushPeriod;
  std::vector<std::pair<std::string, std::string>> targets;
  for (const Member *it : sampleMembers(state, state.Settings.PushFanOut, {}, rng))
    targets.emplace_back(it->Info.Id.Name, it->Info.PeerAddress);
  if (targets.size() < state.Settings.PushFanOut)
    for (const std::string &seed : unreachedSeeds(state))
      targets.emplace_back("", seed);
  for (const auto &[name, address] : targets)
    sendPing(state, name, address, state.NextSeq++, now, effects);
}

/// Probes one dead member or unreached seed, so that the parts of a partitioned fleet reconnect.
void sendReconnectProbe(State &state, const Now &now, Random &rng, Effects &effects) {
  if (now.Steady < state.NextReconnect)
    return;
  state.NextReconnect = now.Steady + state.Settings.ReconnectPeriod;
  std::vector<std::pair<std::string, std::string>> targets;
  for (const std::string &seed : unreachedSeeds(state))
    targets.emplace_back("", seed);
  for (const auto &[name, it] : state.Members)
    if (it.Info.State == MemberState::Dead && !it.Info.PeerAddress.empty())
      targets.emplace_back(name, it.Info.PeerAddress);
  if (targets.empty())
    return;
  std::uniform_int_distribution<std::size_t> pick(0, targets.size() - 1);
  const auto &[name, address] = targets[pick(rng)];
  sendPing(state, name, address, state.NextSeq++, now, effects);
}

/// Age of a suspicion at which the next confirming probe is due: 3/5 and 4/5 of SuspicionTime.
Duration nextConfirmationAge(const State &state, const Member &member) {
  return state.Settings.SuspicionTime * (3 + static_cast<int>(member.ConfirmingProbes)) / 5;
}

/// Probes a suspected member again before it is declared dead: at 10% loss, a refutation failed to
/// reach about one of 320 nodes in 15 minutes. The probe carries no other updates, because a
/// partition between regions makes many members suspected at once.
void sendConfirmingProbe(State &state, Member &member, const Now &now, Effects &effects) {
  if (member.ConfirmingProbes >= 2)
    return;
  ++member.ConfirmingProbes;
  effects.Messages.push_back(
      {member.Info.PeerAddress,
       makePing(state, state.NextSeq++, {withoutAddresses(member.Info)}, now)});
}

/// Sends confirming probes, declares suspected members dead and removes expired members and relayed
/// probes.
void expireMembers(State &state, const Now &now, Effects &effects) {
  if (now.Steady < state.NextExpiry)
    return;
  state.NextExpiry = now.Steady + ExpiryPeriod;
  for (auto it = state.Members.begin(); it != state.Members.end();) {
    Member &member = it->second;
    const Duration age = now.Steady - member.StateSince;
    if (member.Info.State == MemberState::Suspect && age >= nextConfirmationAge(state, member))
      sendConfirmingProbe(state, member, now, effects);
    if (member.Info.State == MemberState::Suspect && age >= state.Settings.SuspicionTime)
      setState(state, member, MemberState::Dead, now, effects);
    if (member.Info.State == MemberState::Dead && age >= state.Settings.DeadRetention) {
      state.GossipQueue.erase(it->first);
      state.LeavingPushes.erase(it->first);
      it = state.Members.erase(it);
    } else {
      ++it;
    }
  }
  std::erase_if(state.RelayedProbes, [&](const RelayedProbe &it) {
    return now.Steady - it.SentAt >= state.Settings.ProbePeriod;
  });
}

/// Restarts all timeouts that depend on answers if this process was paused since the last tick.
void resetAfterPause(State &state, const Now &now) {
  if (now.Steady - std::exchange(state.LastTick, now.Steady) < state.Settings.PauseThreshold)
    return;
  state.CurrentProbe.Active = false;
  state.Settled = false;
  state.AgreeingPeers.clear();
  for (auto &[region, at] : state.RegionHeardAt)
    at = now.Steady;
  for (auto &[name, it] : state.Members)
    if (it.Info.State == MemberState::Suspect)
      it.StateSince = now.Steady;
}

/// Records that the peer holds the same list, or that this node has merged all of the peer's list.
void recordAgreement(State &state, const NodeId &peer, const Now &now) {
  const Member *it = find(state, peer);
  if (state.Settled || it == nullptr || !isLive(*it))
    return;
  state.AgreeingPeers.insert(peer.Name);
  const std::size_t others = live(state).size() - 1;
  state.Settled = state.AgreeingPeers.size() >= std::min(state.Settings.SettlePeers, others) &&
                  now.Steady - state.StartedAt >= state.Settings.SettleTime;
}

/// Starts an exchange if the peer's digest differs and gossip is unlikely to make the lists equal.
void compareDigest(State &state, const NodeId &sender, const std::string &address,
                   std::uint32_t count, std::uint64_t hash, const Now &now, Effects &effects) {
  if (count == 0)
    return;
  const Digest &list = refreshDigest(state, now);
  if (count == list.Count && hash == list.Hash) {
    recordAgreement(state, sender, now);
    return;
  }
  const Options &o = state.Settings;
  if (now.Steady < state.NextExchange ||
      (state.Settled && now.Steady - state.ListChangedAt < o.ExchangeDelay))
    return;
  state.NextExchange = now.Steady + (state.Settled ? o.ExchangePeriod : o.JoinExchangePeriod);
  effects.Messages.push_back({address, message::MemberExchange{list.Buckets, {}, false, true}});
}

/// Merges the updates of a message. If one says that this node is suspected or dead, refutes it to
/// the sender at once.
void mergeMessage(State &state, const NodeId &sender, const std::string &address,
                  const std::vector<MemberUpdate> &updates, const Now &now, Effects &effects) {
  state.PeerHeard = true;
  if (const Member *it = findByName(state, sender.Name); it != nullptr)
    recordRegionHeard(state, it->Info.Region, now);
  bool refuted = false;
  for (const MemberUpdate &u : updates)
    refuted |= mergeUpdate(state, u, u.Id == sender, now, effects);
  if (refuted)
    sendPing(state, sender.Name, address, state.NextSeq++, now, effects);
}

} // namespace

State start(MemberUpdate self, std::vector<std::string> seeds, const Options &options,
            const Now &now) {
  State state;
  state.Settings = options;
  state.SelfName = self.Id.Name;
  std::erase(seeds, self.PeerAddress);
  state.Seeds = std::move(seeds);
  state.StartedAt = state.LastTick = state.NextProbe = state.NextPush = state.NextJoin = now.Steady;
  state.LastLoadAnnouncement = now.Steady;
  state.NextExchange = now.Steady + 2 * options.JoinExchangePeriod;
  state.NextReconnect = now.Steady + options.ReconnectPeriod;
  state.NextRepair = hashBytes(state.SelfName) % 1024;
  state.Overloaded = self.Load >= options.OverloadThreshold;
  const std::string name = state.SelfName;
  state.Members[name] = Member{std::move(self), now.Steady, now.Steady};
  return state;
}

Effects tick(State &state, const Now &now, Random &rng) {
  Effects effects;
  resetAfterPause(state, now);
  advanceProbe(state, now, rng, effects);
  expireMembers(state, now, effects);
  pushLeaving(state, now, rng, effects);
  gossipUrgentUpdates(state, now, rng, effects);
  sendJoinProbes(state, now, rng, effects);
  sendReconnectProbe(state, now, rng, effects);
  return effects;
}

Effects onPing(State &state, const NodeId &sender, const std::string &address,
               const message::Ping &ping, const Now &now, Random & /*rng*/) {
  Effects effects;
  mergeMessage(state, sender, address, ping.Updates, now, effects);
  compareDigest(state, sender, address, ping.MemberCount, ping.MemberHash, now, effects);
  if (ping.Seq == 0)
    return effects;
  message::Ack ack{ping.Seq, self(state).Info.Id, collectUpdates(state, sender.Name, ping.Seq, now),
                   state.DocsHash};
  const Digest &list = refreshDigest(state, now);
  ack.MemberCount = list.Count;
  ack.MemberHash = list.Hash;
  // Tells the sender that a newer incarnation has replaced it, so that it stops.
  const Member *known = findByName(state, sender.Name);
  if (known != nullptr && known->Info.Id.Incarnation > sender.Incarnation)
    ack.Updates.push_back(withoutAddresses(known->Info));
  effects.Messages.push_back({address, std::move(ack)});
  return effects;
}

Effects onPingRequest(State &state, const NodeId &sender, const std::string &address,
                      const message::PingRequest &request, const Now &now, Random & /*rng*/) {
  Effects effects;
  mergeMessage(state, sender, address, request.Updates, now, effects);
  const Member *target = find(state, request.Target);
  if (target == nullptr || target->Info.PeerAddress.empty())
    return effects;
  const std::uint64_t seq = state.NextSeq++;
  state.RelayedProbes.push_back({seq, request.Seq, address, request.Target, now.Steady});
  sendPing(state, target->Info.Id.Name, target->Info.PeerAddress, seq, now, effects);
  return effects;
}

Effects onAck(State &state, const NodeId &sender, const std::string &address,
              const message::Ack &ack, const Now &now, Random & /*rng*/) {
  Effects effects;
  mergeMessage(state, sender, address, ack.Updates, now, effects);
  compareDigest(state, sender, address, ack.MemberCount, ack.MemberHash, now, effects);
  if (const Member *it = find(state, ack.Subject); it != nullptr)
    recordRegionHeard(state, it->Info.Region, now);
  if (state.CurrentProbe.Active && ack.Seq == state.CurrentProbe.Seq &&
      ack.Subject == state.CurrentProbe.Target)
    state.CurrentProbe.Active = false;
  const auto relay = std::ranges::find_if(state.RelayedProbes, [&](const RelayedProbe &it) {
    return it.Seq == ack.Seq && it.Target == ack.Subject;
  });
  if (relay != state.RelayedProbes.end()) {
    effects.Messages.push_back(
        {relay->RequesterAddress,
         message::Ack{relay->RequestSeq, ack.Subject, {self(state).Info}, state.DocsHash}});
    state.RelayedProbes.erase(relay);
  }
  return effects;
}

Effects onExchange(State &state, const NodeId &sender, const std::string &address,
                   const message::MemberExchange &exchange, const Now &now) {
  Effects effects;
  const std::vector<std::uint32_t> &peerBuckets = exchange.Buckets;
  if (!peerBuckets.empty() && peerBuckets.size() != DigestBuckets)
    return effects;
  std::vector<MemberUpdate> updates = exchange.Updates;
  // After a partition each side holds the other's members as dead. A suspicion lets them refute it.
  for (MemberUpdate &u : updates)
    if (const Member *known = find(state, u.Id);
        u.State == MemberState::Dead && known != nullptr && known->Info.State != MemberState::Dead)
      u.State = MemberState::Suspect;
  mergeMessage(state, sender, address, updates, now, effects);
  if (exchange.Answer && exchange.Complete)
    recordAgreement(state, sender, now);
  if (peerBuckets.empty())
    return effects;
  const Digest &list = refreshDigest(state, now);
  message::MemberExchange reply{{}, {}, true, true};
  if (!exchange.Answer)
    reply.Buckets = list.Buckets;
  // The start differs between nodes and messages, so that repeated exchanges cover all members even
  // if one message cannot hold them.
  const std::size_t n = state.Members.size();
  auto it = std::next(state.Members.begin(),
                      static_cast<std::ptrdiff_t>(hashBytes(sender.Name, state.NextSeq++) % n));
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t bucket = digestBucket(it->first);
    if (list.Buckets[bucket] != peerBuckets[bucket] && !it->second.Info.PeerAddress.empty()) {
      reply.Complete = reply.Updates.size() < state.Settings.ExchangeUpdates;
      if (!reply.Complete)
        break;
      reply.Updates.push_back(it->second.Info);
    }
    if (++it == state.Members.end())
      it = state.Members.begin();
  }
  if (!exchange.Answer || !reply.Updates.empty())
    effects.Messages.push_back({address, std::move(reply)});
  return effects;
}

Effects announceLeaving(State &state, WallTime leaveBy, const Now &now, Random &rng) {
  Effects effects;
  markLeaving(state, state.Members.at(state.SelfName), leaveBy, now, effects);
  pushLeaving(state, now, rng, effects);
  return effects;
}

Effects applyVmNotices(State &state, std::span<const VmNotice> notices, const Now &now) {
  Effects effects;
  for (const VmNotice &it : notices) {
    const auto found = state.Members.find(it.Name);
    if (!it.Leaving || found == state.Members.end())
      continue;
    Member &member = found->second;
    const WallTime started(std::chrono::milliseconds(member.Info.Id.Incarnation));
    if (it.LeaveBy != WallTime{} && it.LeaveBy >= started)
      markLeaving(state, member, it.LeaveBy, now, effects);
    else if (it.LeaveBy == WallTime{} && !isLeaving(member))
      markLeaving(state, member, now.Wall + state.Settings.DefaultLeaveTime, now, effects);
  }
  return effects;
}

void setLoad(State &state, std::uint8_t load, const Now &now) {
  MemberUpdate &info = state.Members.at(state.SelfName).Info;
  info.Load = load;
  const bool overloaded = state.Overloaded ? load >= state.Settings.OverloadClearThreshold
                                           : load >= state.Settings.OverloadThreshold;
  if (overloaded == state.Overloaded ||
      now.Steady - state.LastLoadAnnouncement < state.Settings.LoadChangePeriod)
    return;
  state.Overloaded = overloaded;
  state.LastLoadAnnouncement = now.Steady;
  // Other nodes accept a new load from a third party only with a higher refutation counter.
  ++info.Refutation;
}

} // namespace chervil::membership
