#include "shard/Assign.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace chervil::shard {

using message::MemberState;
using message::MemberUpdate;

namespace {

/// A live member and its load.
struct Candidate {
  const MemberUpdate *Info = nullptr;
  /// Number of shards it owns.
  std::size_t Owned = 0;
  /// Number of shards it owns or is the standby of.
  std::size_t Roles = 0;
};

bool isLeaving(const Candidate &it) { return it.Info->LeaveBy != WallTime{}; }

/// Returns 0 for a member that is preferred for new roles, 1 for a suspected one and 2 for a
/// leaving one. A lower rank is always preferred.
int avoidanceRank(const Candidate &it) {
  if (isLeaving(it))
    return 2;
  return it.Info->State == MemberState::Suspect ? 1 : 0;
}

/// The inputs of one call of assign() and the load of each member, updated with each placement.
struct AssignmentContext {
  const AssignOptions &Options;
  const Now &Time;
  /// Live members by name.
  std::map<std::string, Candidate> Live;
  /// All listed members by name and incarnation. Dead ones are included, because their data centre
  /// and region are needed too.
  std::map<std::pair<std::string, std::uint64_t>, const MemberUpdate *> ListedMembers;
  /// NewestIncarnations incarnation by name.
  std::map<std::string, std::uint64_t> NewestIncarnations;
  /// A member at or above a limit gets another role only if every candidate is at its limit.
  std::size_t OwnedLimit = 0;
  std::size_t RoleLimit = 0;
  /// Number of live members with avoidanceRank() 0.
  std::size_t PreferredCount = 0;
};

Candidate *findLive(AssignmentContext &context, const NodeId &id) {
  const auto it = context.Live.find(id.Name);
  return it != context.Live.end() && it->second.Info->Id == id ? &it->second : nullptr;
}

/// Adds `sign` (1 or -1) to the counts of the owner and the standby of `p`.
void adjustCounts(AssignmentContext &context, const Placement &p, int sign) {
  if (Candidate *it = findLive(context, p.Owner)) {
    it->Owned += static_cast<std::size_t>(sign);
    it->Roles += static_cast<std::size_t>(sign);
  }
  if (Candidate *it = findLive(context, p.Standby))
    it->Roles += static_cast<std::size_t>(sign);
}

AssignmentContext makeContext(const ShardMap &map, std::span<const MemberUpdate> members,
                              const Now &now, const AssignOptions &options) {
  AssignmentContext context{options, now, {}, {}, {}, 0, 0, 0};
  std::map<std::string, const MemberUpdate *> newest;
  for (const MemberUpdate &it : members) {
    if (!isSet(it.Id))
      continue;
    context.ListedMembers[{it.Id.Name, it.Id.Incarnation}] = &it;
    const MemberUpdate *&slot = newest[it.Id.Name];
    if (slot == nullptr || slot->Id.Incarnation < it.Id.Incarnation)
      slot = &it;
  }
  for (const auto &[name, it] : newest) {
    context.NewestIncarnations[name] = it->Id.Incarnation;
    if (it->State != MemberState::Dead)
      context.Live[name] = Candidate{it, 0, 0};
  }
  for (const Placement &p : map.Shards)
    adjustCounts(context, p, 1);
  for (const auto &[name, it] : context.Live)
    context.PreferredCount += avoidanceRank(it) == 0 ? 1 : 0;
  const std::size_t shards = map.Shards.empty() ? options.ShardCount : map.Shards.size();
  const std::size_t n = std::max<std::size_t>(context.PreferredCount, 1);
  // 25% above the mean, rounded up: bounds the load and rarely overrides the rendezvous hash.
  context.OwnedLimit = (shards * 5 + 4 * n - 1) / (4 * n);
  context.RoleLimit = (2 * shards * 5 + 4 * n - 1) / (4 * n);
  return context;
}

/// Returns the best live member for a role of a shard, or null if there is none. Members are ranked
/// by avoidanceRank(), then by region (that of `owner` first), then by load (below the limits
/// first) and last by rendezvous hash. `owner` is null when choosing an owner. When choosing a
/// standby, only members in other data centres than the owner's qualify. A standby in the owner's
/// region lets the shard keep serving during a network partition between regions.
const Candidate *chooseMember(const AssignmentContext &context, std::size_t shard,
                              const MemberUpdate *owner, const std::string &excludedName) {
  using Rank = std::tuple<int, bool, bool, std::uint64_t>;
  const Candidate *best = nullptr;
  Rank bestRank;
  for (const auto &[name, it] : context.Live) {
    if (name == excludedName || (owner != nullptr && it.Info->DataCentre == owner->DataCentre))
      continue;
    const bool sameRegion = owner == nullptr || it.Info->Region == owner->Region;
    const bool belowLimit =
        it.Roles < context.RoleLimit && (owner != nullptr || it.Owned < context.OwnedLimit);
    const Rank rank{-avoidanceRank(it), sameRegion, belowLimit, hashBytes(name, shard)};
    if (best == nullptr || rank > bestRank) {
      best = &it;
      bestRank = rank;
    }
  }
  return best;
}

/// Sets the owner and standby of a shard and starts the next epoch. The nodes are passed by value
/// because callers pass members of `p` itself.
void setHolders(AssignmentContext &context, Placement &p, NodeId owner, NodeId standby) {
  adjustCounts(context, p, -1);
  p.Owner = std::move(owner);
  p.Standby = std::move(standby);
  p.Epoch += 1;
  p.Ready = false;
  const auto &options = context.Options;
  if (p.LostSince &&
      context.Time.Wall > *p.LostSince + options.RetryHorizon + 2 * options.ClockMargin)
    p.LostSince.reset();
  adjustCounts(context, p, 1);
}

/// Returns the standby for `owner`: `preferred` if it is live, not leaving and in another data
/// centre, otherwise the best such member. Returns a leaving member only if there is no other, and
/// an unset id if no other data centre has a live member.
NodeId chooseStandby(AssignmentContext &context, std::size_t shard, const Candidate &owner,
                     const NodeId &preferred) {
  const Candidate *old = findLive(context, preferred);
  const bool valid = old != nullptr && old->Info->Id.Name != owner.Info->Id.Name &&
                     old->Info->DataCentre != owner.Info->DataCentre;
  if (valid && !isLeaving(*old))
    return preferred;
  const Candidate *it = chooseMember(context, shard, owner.Info, owner.Info->Id.Name);
  if (it != nullptr && !isLeaving(*it))
    return it->Info->Id;
  // All candidates in other data centres are leaving. A leaving standby is better than none.
  if (valid)
    return preferred;
  return it != nullptr ? it->Info->Id : NodeId{};
}

/// True if neither the owner nor the standby can be reached but both may still be running.
bool isPartitioned(const AssignmentContext &context, const Placement &p) {
  const auto inPartition = [&](const NodeId &id) {
    if (context.Options.PartitionedHolders.contains(id))
      return true;
    const auto it = context.ListedMembers.find({id.Name, id.Incarnation});
    return it != context.ListedMembers.end() &&
           context.Options.PartitionedRegions.contains(it->second->Region);
  };
  return inPartition(p.Owner) && inPartition(p.Standby);
}

/// True if this incarnation is known to have stopped. False if it may merely be unreachable.
bool isKnownStopped(const AssignmentContext &context, const NodeId &id) {
  const auto newer = context.NewestIncarnations.find(id.Name);
  if (newer != context.NewestIncarnations.end() && newer->second > id.Incarnation)
    return true;
  const auto it = context.ListedMembers.find({id.Name, id.Incarnation});
  return it != context.ListedMembers.end() && it->second->State == MemberState::Dead;
}

/// True if no node can issue a grant for the shard in this epoch or an earlier one.
///
/// A grant needs the owner and the standby of the same epoch. If the standby is ready, the owner is
/// in this epoch, so no earlier pair can grant any more, and it is enough that one of the two has
/// stopped. If it is not ready, the owner may not have received this epoch and may still grant with
/// the standby of an earlier one. Each such pair contains the current owner, because it was the
/// owner or the ready standby of the epoch before. No grant is issued before the first standby is
/// ready.
bool canNoLongerGrant(const AssignmentContext &context, const Placement &p) {
  if (p.Epoch <= 1 && !p.Ready)
    return true;
  return isKnownStopped(context, p.Owner) || (p.Ready && isKnownStopped(context, p.Standby));
}

/// Promotes the standby if it is ready. Otherwise gives the shard an owner that lacks some or all
/// of its records and sets LostSince, unless a grant in this or an earlier epoch is still possible.
/// Returns true if the placement changed.
bool replaceOwner(AssignmentContext &context, std::size_t shard, Placement &p) {
  const NodeId oldOwner = p.Owner;
  const Candidate *standby = findLive(context, p.Standby);
  if (standby != nullptr && p.Ready) {
    const NodeId next = chooseStandby(context, shard, *standby, NodeId{});
    setHolders(context, p, standby->Info->Id, next);
    return true;
  }
  const Candidate *owner = standby != nullptr && !isLeaving(*standby)
                               ? standby
                               : chooseMember(context, shard, nullptr, oldOwner.Name);
  // The choice above excludes every node with the old owner's name. A newer incarnation of that
  // name is a valid owner.
  if (const Candidate *any = chooseMember(context, shard, nullptr, {});
      owner == nullptr || (standby == nullptr && any->Info->Id != oldOwner))
    owner = any;
  if (owner->Info->Id == oldOwner || !canNoLongerGrant(context, p))
    return false;
  const NodeId next = chooseStandby(context, shard, *owner, p.Standby);
  setHolders(context, p, owner->Info->Id, next);
  p.LostSince = context.Time.Wall;
  return true;
}

/// Replaces an owner or standby that is dead, unreachable or leaving.
void updatePlacement(AssignmentContext &context, std::size_t shard, Placement &p) {
  if (isPartitioned(context, p))
    return;
  const Candidate *owner = findLive(context, p.Owner);
  if (owner == nullptr) {
    replaceOwner(context, shard, p);
    return;
  }
  const Candidate *standby = findLive(context, p.Standby);
  if (isLeaving(*owner)) {
    const WallTime ownerEnd = owner->Info->LeaveBy;
    const auto margin = context.Options.LeaveMargin;
    const bool due = ownerEnd - context.Time.Wall < margin;
    const bool standbyStays = standby != nullptr && !isLeaving(*standby);
    // If both are leaving, the standby takes over if it stops later than the owner.
    const bool standbyLasts =
        standbyStays || (standby != nullptr && standby->Info->LeaveBy > ownerEnd + margin);
    if (standby != nullptr && p.Ready && standbyLasts) {
      replaceOwner(context, shard, p);
      return;
    }
    const Candidate *any = chooseMember(context, shard, nullptr, p.Owner.Name);
    const bool othersStay = any != nullptr && !isLeaving(*any);
    if (due && othersStay && replaceOwner(context, shard, p))
      return;
  }
  const NodeId next = chooseStandby(context, shard, *owner, p.Standby);
  if (next != p.Standby)
    setHolders(context, p, p.Owner, next);
}

/// Moves standby roles to members with less than half the mean number of roles, such as new
/// members, and swaps owner and standby where the owner owns more than twice the mean. A moved
/// shard has no ready standby until the new one is synchronised, so smaller differences are left
/// alone. Only standbys are replaced and only ready standbys are promoted, so no records are lost.
/// Returns the number of moves, at most MaxBalanceMoves.
std::size_t rebalance(AssignmentContext &context, ShardMap &map) {
  const std::size_t n = std::max<std::size_t>(context.PreferredCount, 1);
  const std::size_t meanRoles = 2 * map.Shards.size() / n;
  const std::size_t meanOwned = map.Shards.size() / n;
  std::size_t moves = 0;
  for (std::size_t i = 0; i < map.Shards.size() && moves < context.Options.MaxBalanceMoves; ++i) {
    Placement &p = map.Shards[i];
    const Candidate *owner = findLive(context, p.Owner);
    const Candidate *standby = findLive(context, p.Standby);
    if (owner == nullptr || standby == nullptr || !p.Ready || isPartitioned(context, p))
      continue;
    const Candidate *target = nullptr;
    for (const auto &[name, it] : context.Live) {
      const bool fits = avoidanceRank(it) == 0 && it.Info->DataCentre != owner->Info->DataCentre &&
                        (it.Info->Region == owner->Info->Region ||
                         standby->Info->Region != owner->Info->Region) &&
                        2 * it.Roles < meanRoles && standby->Roles > meanRoles;
      if (fits && (target == nullptr || hashBytes(name, i) > hashBytes(target->Info->Id.Name, i)))
        target = &it;
    }
    if (target != nullptr) {
      setHolders(context, p, p.Owner, target->Info->Id);
      ++moves;
    } else if (owner->Owned > 2 * meanOwned + 2 && standby->Owned < meanOwned &&
               avoidanceRank(*standby) == 0) {
      setHolders(context, p, p.Standby, p.Owner);
      ++moves;
    }
  }
  return moves;
}

/// True if the standby of some shard is not ready yet. Shards are not moved for balance until then.
bool hasPendingStandby(const ShardMap &map) {
  return std::ranges::any_of(map.Shards,
                             [](const Placement &p) { return isSet(p.Standby) && !p.Ready; });
}

} // namespace

std::optional<ShardMap> assign(const ShardMap &map, std::span<const MemberUpdate> members,
                               const Now &now, const AssignOptions &options) {
  AssignmentContext context = makeContext(map, members, now, options);
  if (context.Live.empty())
    return std::nullopt;
  ShardMap next = map;
  if (next.Shards.empty()) {
    next.Shards.resize(options.ShardCount);
    for (std::size_t i = 0; i < next.Shards.size(); ++i) {
      const Candidate *owner = chooseMember(context, i, nullptr, {});
      Placement &p = next.Shards[i];
      setHolders(context, p, owner->Info->Id, {});
      const NodeId standby = chooseStandby(context, i, *owner, {});
      adjustCounts(context, p, -1);
      p.Standby = standby;
      adjustCounts(context, p, 1);
    }
  } else {
    for (std::size_t i = 0; i < next.Shards.size(); ++i)
      updatePlacement(context, i, next.Shards[i]);
    if (next == map && !hasPendingStandby(next))
      rebalance(context, next);
  }
  if (next == map)
    return std::nullopt;
  next.Version = map.Version + 1;
  return next;
}

std::optional<ShardMap> applyStandbyReady(const ShardMap &map, const NodeId &sender,
                                          const message::StandbyReady &report) {
  ShardMap next = map;
  for (const message::ShardEpoch &it : report.Shards) {
    if (it.Shard >= next.Shards.size())
      continue;
    Placement &p = next.Shards[it.Shard];
    if (p.Owner == sender && p.Epoch == it.Epoch && isSet(p.Standby))
      p.Ready = true;
  }
  if (next == map)
    return std::nullopt;
  next.Version = map.Version + 1;
  return next;
}

} // namespace chervil::shard
