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

/// Suspicions last seconds; looking through all members on every tick would be wasted work.
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(500);

/// Order in which statements with equal refutation counters override each other.
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

MemberState liveState(const MemberUpdate &info) {
  return info.LeaveBy != WallTime{} ? MemberState::Leaving : MemberState::Alive;
}

/// News of joins is also learned from acks to the joining node, so other news goes first.
bool isUrgent(const MemberUpdate &info) {
  return info.State != MemberState::Alive || info.Refutation > 0;
}

/// Messages that carry one update: about log2(n) + ln(n) random receivers reach all n members.
std::size_t sendLimit(const State &state, const MemberUpdate &info) {
  const auto rounds = static_cast<std::size_t>(std::bit_width(state.Members.size()));
  return isUrgent(info) ? 2 * rounds : rounds;
}

MemberUpdate withoutAddresses(const MemberUpdate &info) {
  MemberUpdate u = info;
  u.Region.clear();
  u.DataCentre.clear();
  u.PeerAddress.clear();
  u.CallerAddress.clear();
  return u;
}

/// Addresses are left out of news about members that the receiver most likely knows.
MemberUpdate makeGossipUpdate(const State &state, const Member &member, TimePoint now) {
  const bool recent = now - member.FirstSeen < state.Settings.FullUpdateTime;
  return member.Info.State == MemberState::Alive && recent ? member.Info
                                                           : withoutAddresses(member.Info);
}

/// The digest of the present list.
const Digest &refreshDigest(State &state, const Now &now) {
  if (!std::exchange(state.DigestStale, false))
    return state.ListDigest;
  const std::uint64_t before = state.ListDigest.Hash;
  state.ListDigest = makeDigest(state);
  if (state.ListDigest.Hash != before)
    state.ListChangedAt = now.Steady;
  return state.ListDigest;
}

void recordRegionHeard(State &state, const std::string &region, const Now &now) {
  if (!region.empty())
    state.RegionHeardAt[region] = now.Steady;
}

/// Counts news that others already pass on like a message of this node's own. Without this, each
/// suspicion and refutation was sent 18 times by each of 320 nodes.
void countReceivedUpdate(State &state, const std::string &name) {
  const auto it = state.GossipQueue.find(name);
  if (it != state.GossipQueue.end() &&
      ++it->second >= sendLimit(state, state.Members.at(name).Info))
    state.GossipQueue.erase(it);
}

/// News about this node itself needs no queue: every probe and ack carries it.
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

/// Takes the earliest deadline. True if it changed.
bool mergeLeaveBy(MemberUpdate &info, WallTime leaveBy) {
  if (leaveBy == WallTime{} || (info.LeaveBy != WallTime{} && info.LeaveBy <= leaveBy))
    return false;
  info.LeaveBy = leaveBy;
  return true;
}

/// True if the place and addresses were missing and are now known.
bool fillAddresses(MemberUpdate &info, const MemberUpdate &u) {
  if (!info.PeerAddress.empty() || u.PeerAddress.empty())
    return false;
  info.Region = u.Region;
  info.DataCentre = u.DataCentre;
  info.PeerAddress = u.PeerAddress;
  info.CallerAddress = u.CallerAddress;
  return true;
}

void markLeaving(State &state, Member &member, WallTime leaveBy, const Now &now, Effects &effects) {
  if (!mergeLeaveBy(member.Info, leaveBy))
    return;
  if (member.Info.State == MemberState::Alive)
    setState(state, member, MemberState::Leaving, now, effects);
  state.DigestStale = true;
  enqueueLeaving(state, member.Info.Id.Name);
}

/// True if this node raised its refutation counter.
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
  const bool accused = precedenceOf(u.State) > 0 && u.Refutation >= me.Info.Refutation;
  if (!accused)
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
  // Peers that agreed so far did so on an incomplete list.
  state.AgreeingPeers.clear();
}

/// Merges one statement. `direct` is true when the subject itself made it. True if this node
/// refuted a statement about itself.
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
    // A dead member that was forgotten here must not be passed around again.
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
  // Only the member itself raises its counter, so it was reachable for somebody.
  if (newer && precedenceOf(u.State) == 0)
    recordRegionHeard(state, known.Info.Region, now);
  const bool same = u.Refutation == known.Info.Refutation &&
                    precedenceOf(u.State) == precedenceOf(known.Info.State) &&
                    leaveBy == known.Info.LeaveBy;
  // A refutation has to reach every member within the suspicion time and keeps all its messages:
  // with fewer, 2 of 320 nodes declared a live member dead at 10% loss.
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

/// Updates to send to the member called `receiver`. `window` selects the part of the member list
/// that a joining receiver gets: consecutive values cover the whole list. `queuedOnly` leaves out
/// this node and repeated state.
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
  // Repeats come first: news can fill the rest of the messages for minutes.
  if (joining)
    appendMembers(window, max - 2);
  else if (!queuedOnly)
    appendMembers(state.NextRepair++, state.Settings.RepairUpdates);

  // Nodes take news of equal age in different orders, so that they do not all repeat the same.
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

/// Up to `count` different live members that are neither this node nor `except`.
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
  // Telling the suspect at once gives it the whole suspicion time to refute.
  sendPing(state, id.Name, it->second.Info.PeerAddress, state.NextSeq++, now, effects);
}

/// A live member of the region that has been silent for longest, if that is too long. A small
/// region is rarely the random choice of a large fleet.
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
  // The direct probe is repeated as well: one lost message is not a reason for suspicion.
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

/// One push round: every batch of pending names goes to PushFanOut random members.
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

/// Sends additional messages while there is fresh urgent news. One probe per second alone took 8 s
/// to bring a suspicion to 320 nodes, too long for a refutation to come back in time.
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

/// Seeds that are not the address of a live member.
std::vector<std::string> unreachedSeeds(const State &state) {
  std::vector<std::string> seeds = state.Seeds;
  for (const Member *it : live(state))
    std::erase(seeds, it->Info.PeerAddress);
  return seeds;
}

/// A starting node probes several members per round to learn the whole list from their acks.
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

/// Probes one dead member or unreached seed, so that separated parts find each other again.
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

/// Age of a suspicion at which the next confirming probe is due: after 3/5 and 4/5 of its time.
Duration nextConfirmationAge(const State &state, const Member &member) {
  return state.Settings.SuspicionTime * (3 + static_cast<int>(member.ConfirmingProbes)) / 5;
}

/// Probes a suspect before it is declared dead: at 10% loss a refutation missed about one of 320
/// nodes in 15 minutes. Carries no other news, as many members are suspected together when regions
/// are apart.
void sendConfirmingProbe(State &state, Member &member, const Now &now, Effects &effects) {
  if (member.ConfirmingProbes >= 2)
    return;
  ++member.ConfirmingProbes;
  effects.Messages.push_back(
      {member.Info.PeerAddress,
       makePing(state, state.NextSeq++, {withoutAddresses(member.Info)}, now)});
}

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

/// Restarts the waits of this node after a pause.
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

/// The peer holds the same list, or this node has merged all of it.
void recordAgreement(State &state, const NodeId &peer, const Now &now) {
  const Member *it = find(state, peer);
  if (state.Settled || it == nullptr || !isLive(*it))
    return;
  state.AgreeingPeers.insert(peer.Name);
  const std::size_t others = live(state).size() - 1;
  state.Settled = state.AgreeingPeers.size() >= std::min(state.Settings.SettlePeers, others) &&
                  now.Steady - state.StartedAt >= state.Settings.SettleTime;
}

/// Starts an exchange if the digest of a peer shows a difference that news is unlikely to repair.
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

/// Merges the updates of a message and answers an accusation against this node at once.
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
  // Tells a process that was replaced under its name that it must stop.
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
  // After a partition each side holds the other as dead; a suspicion lets the members refute it.
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
  // The start differs between nodes and messages, so that repeated exchanges bring other parts.
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
  // Others accept a new load from third parties only with a higher counter.
  ++info.Refutation;
}

} // namespace chervil::membership
