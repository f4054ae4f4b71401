#include "shard/Assign.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

using namespace chervil;
using namespace chervil::shard;
using message::MemberState;
using message::MemberUpdate;
using namespace std::chrono_literals;

namespace {

/// Incarnations are start times in ms since the Unix epoch.
constexpr std::uint64_t FirstIncarnation = 1764800000000;

Now at(std::chrono::milliseconds t) {
  return {TimePoint(t), WallTime(std::chrono::milliseconds(FirstIncarnation) + t)};
}

MemberUpdate member(const std::string &name, const std::string &dataCentre,
                    std::uint64_t incarnation = FirstIncarnation) {
  MemberUpdate u;
  u.Id = {name, incarnation};
  u.Region = "r";
  u.DataCentre = dataCentre;
  u.PeerAddress = name;
  return u;
}

/// `n` members, distributed evenly over the data centres and these over the regions.
std::vector<MemberUpdate> fleet(std::size_t n, std::size_t centres, std::size_t regions = 1) {
  std::vector<MemberUpdate> members;
  for (std::size_t i = 0; i < n; ++i) {
    auto u = member("n" + std::to_string(1000 + i), "dc" + std::to_string(i % centres));
    u.Region = "r" + std::to_string(i % centres % regions);
    members.push_back(u);
  }
  return members;
}

/// The map after the owner of each shard has reported its standby as ready.
ShardMap allReady(ShardMap map) {
  for (std::size_t i = 0; i < map.Shards.size(); ++i) {
    const Placement p = map.Shards[i];
    const message::StandbyReady report{{{static_cast<std::uint32_t>(i), p.Epoch}}};
    if (auto next = applyStandbyReady(map, p.Owner, report))
      map = std::move(*next);
  }
  return map;
}

AssignOptions shards(std::size_t n) {
  AssignOptions options;
  options.ShardCount = n;
  return options;
}

ShardMap created(const std::vector<MemberUpdate> &members, const AssignOptions &options) {
  return allReady(assign({}, members, at(0ms), options).value());
}

MemberUpdate *byName(std::vector<MemberUpdate> &members, const std::string &name) {
  const auto it =
      std::ranges::find_if(members, [&](const MemberUpdate &u) { return u.Id.Name == name; });
  return it == members.end() ? nullptr : &*it;
}

void leave(MemberUpdate &u, WallTime by) {
  u.State = MemberState::Leaving;
  u.LeaveBy = by;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Assignment)

// Guards against a new map that marks standbys as ready or records as lost, or that places owner
// and standby of a shard in one data centre.
BOOST_AUTO_TEST_CASE(FirstMap) {
  const auto members = fleet(9, 4);
  const auto map = assign({}, members, at(0ms), shards(1024));
  BOOST_REQUIRE(map.has_value());
  BOOST_TEST(map->Version == 1U);
  std::map<std::string, std::size_t> roles;
  for (const Placement &p : map->Shards) {
    BOOST_TEST(p.Epoch == 1U);
    BOOST_TEST(!p.Ready);
    BOOST_TEST(!p.LostSince.has_value());
    auto copy = members;
    BOOST_TEST(byName(copy, p.Owner.Name)->DataCentre != byName(copy, p.Standby.Name)->DataCentre);
    ++roles[p.Owner.Name];
    ++roles[p.Standby.Name];
  }
  for (const auto &[name, n] : roles)
    BOOST_TEST(n <= 1024U * 2 * 5 / 4 / 9 + 1);
  BOOST_TEST(!assign(*map, members, at(1s), shards(1024)).has_value());
  BOOST_TEST(!assign({}, {}, at(0ms), shards(1024)).has_value());
}

// Guards against a standby in the owner's data centre: when the data centre is reclaimed, both
// copies of the records would be lost.
BOOST_AUTO_TEST_CASE(OneDataCentreHasNoStandby) {
  auto members = fleet(3, 1);
  ShardMap map = created(members, shards(16));
  for (const Placement &p : map.Shards)
    BOOST_TEST(!isSet(p.Standby));
  members.push_back(member("z", "other"));
  const auto next = assign(map, members, at(1s), shards(16));
  BOOST_REQUIRE(next.has_value());
  for (const Placement &p : next->Shards) {
    BOOST_TEST(p.Standby.Name == "z");
    BOOST_TEST(p.Epoch == 2U);
  }
}

// Guards against losing records that a ready standby holds when its owner dies, and against changes
// of shards that the dead node did not hold.
BOOST_AUTO_TEST_CASE(DeadOwnerIsReplacedByItsReadyStandby) {
  auto members = fleet(12, 4);
  const ShardMap map = created(members, shards(256));
  const NodeId dead = members[3].Id;
  members[3].State = MemberState::Dead;
  const auto next = assign(map, members, at(1s), shards(256));
  BOOST_REQUIRE(next.has_value());
  for (std::size_t i = 0; i < 256; ++i) {
    const Placement &old = map.Shards[i];
    const Placement &p = next->Shards[i];
    if (old.Owner == dead) {
      BOOST_TEST((p.Owner == old.Standby));
      BOOST_TEST(p.Epoch == old.Epoch + 1);
      BOOST_TEST(!p.Ready);
      BOOST_TEST(!p.LostSince.has_value());
    } else if (old.Standby == dead) {
      BOOST_TEST((p.Owner == old.Owner));
      BOOST_TEST(p.Epoch == old.Epoch + 1);
    } else {
      BOOST_TEST((p == old));
    }
  }
}

// Guards against a restarted node that keeps its roles although it lost its records.
BOOST_AUTO_TEST_CASE(NewIncarnationIsAnotherHolder) {
  auto members = fleet(6, 3);
  const ShardMap map = created(members, shards(64));
  const NodeId old = members[2].Id;
  members[2].Id.Incarnation += 5;
  const auto next = assign(map, members, at(1s), shards(64));
  BOOST_REQUIRE(next.has_value());
  for (std::size_t i = 0; i < 64; ++i) {
    BOOST_TEST((next->Shards[i].Owner != old));
    BOOST_TEST((next->Shards[i].Standby != old));
    if (map.Shards[i].Owner == old)
      BOOST_TEST((next->Shards[i].Owner == map.Shards[i].Standby));
  }
}

// Guards against a second execution of a non-repeatable request whose mark was lost: an epoch that
// starts without the records of the one before sets LostSince until the retry horizon has passed.
BOOST_AUTO_TEST_CASE(LossIsFlaggedUntilTheRetryHorizon) {
  auto members = fleet(8, 4);
  const ShardMap map = assign({}, members, at(0ms), shards(64)).value();
  const NodeId dead = map.Shards[0].Owner;
  byName(members, dead.Name)->State = MemberState::Dead;
  // The standby was not ready, so it does not hold all records.
  ShardMap next = assign(map, members, at(10s), shards(64)).value();
  BOOST_TEST((next.Shards[0].LostSince == at(10s).Wall));
  BOOST_TEST(next.Shards[0].Epoch == 2U);
  next = allReady(next);
  byName(members, next.Shards[0].Owner.Name)->State = MemberState::Dead;
  next = allReady(assign(next, members, at(60s), shards(64)).value());
  BOOST_TEST((next.Shards[0].LostSince == at(10s).Wall));
  byName(members, next.Shards[0].Owner.Name)->State = MemberState::Dead;
  next = assign(next, members, at(10s + 15min + 4s + 1ms), shards(64)).value();
  BOOST_TEST(!next.Shards[0].LostSince.has_value());
}

// Guards against a second owner beside an unreachable pair of owner and standby that is still
// running and granting.
BOOST_AUTO_TEST_CASE(LostEpochNeedsAStoppedHolder) {
  auto members = fleet(8, 4);
  const ShardMap map = created(members, shards(64));
  const Placement first = map.Shards[0];
  auto reached = members;
  std::erase_if(
      reached, [&](const MemberUpdate &u) { return u.Id == first.Owner || u.Id == first.Standby; });
  const auto kept = assign(map, reached, at(60s), shards(64)).value_or(map);
  BOOST_TEST((kept.Shards[0] == first));

  for (const NodeId &stopped : {first.Owner, first.Standby}) {
    auto known = reached;
    MemberUpdate dead = *byName(members, stopped.Name);
    dead.State = MemberState::Dead;
    known.push_back(dead);
    const auto byList = assign(map, known, at(60s), shards(64));
    BOOST_REQUIRE(byList.has_value());
    BOOST_TEST((byList->Shards[0].LostSince == at(60s).Wall));

    known.back().State = MemberState::Alive;
    known.back().Id.Incarnation += 1;
    const auto byRestart = assign(map, known, at(60s), shards(64));
    BOOST_REQUIRE(byRestart.has_value());
    BOOST_TEST((byRestart->Shards[0].LostSince == at(60s).Wall));
  }
}

// Guards against replacing the owner because its standby has stopped when that standby was never
// ready: the owner may not have received the epoch and may still grant with the standby before.
BOOST_AUTO_TEST_CASE(StoppedStandbyThatWasNotReadyProvesNothing) {
  auto members = fleet(8, 4);
  const ShardMap map = created(members, shards(64));
  const Placement first = map.Shards[0];
  const auto remove = [&](const NodeId &id) {
    std::erase_if(members, [&](const MemberUpdate &u) { return u.Id == id; });
  };
  remove(first.Standby);
  const ShardMap second = assign(map, members, at(10s), shards(64)).value();
  BOOST_TEST((second.Shards[0].Owner == first.Owner));
  BOOST_TEST(!second.Shards[0].Ready);
  const MemberUpdate owner = *byName(members, first.Owner.Name);
  remove(first.Owner);
  byName(members, second.Shards[0].Standby.Name)->State = MemberState::Dead;
  const ShardMap third = assign(second, members, at(20s), shards(64)).value_or(second);
  BOOST_TEST((third.Shards[0] == second.Shards[0]));
  members.push_back(owner);
  members.back().State = MemberState::Dead;
  const ShardMap last = assign(third, members, at(30s), shards(64)).value();
  BOOST_TEST((last.Shards[0].LostSince == at(30s).Wall));
}

// Guards against replacing a leaving owner before its standby holds the records, unless it is about
// to stop, and against not replacing it at all.
BOOST_AUTO_TEST_CASE(LeavingOwnerWaitsForItsStandby) {
  auto members = fleet(8, 4);
  const ShardMap fresh = assign({}, members, at(0ms), shards(64)).value();
  const Placement first = fresh.Shards[0];
  leave(*byName(members, first.Owner.Name), at(5s).Wall);

  const auto ready = assign(allReady(fresh), members, at(0ms), shards(64));
  BOOST_REQUIRE(ready.has_value());
  BOOST_TEST((ready->Shards[0].Owner == first.Standby));
  BOOST_TEST(!ready->Shards[0].LostSince.has_value());

  const auto early = assign(fresh, members, at(4s), shards(64)).value_or(fresh);
  BOOST_TEST((early.Shards[0] == first));
  const auto late = assign(fresh, members, at(4001ms), shards(64));
  BOOST_REQUIRE(late.has_value());
  BOOST_TEST((late->Shards[0].Owner == first.Standby));
  BOOST_TEST((late->Shards[0].LostSince == at(4001ms).Wall));
}

// Guards against the loss of records when owner and standby stop at the same time.
BOOST_AUTO_TEST_CASE(LeavingPairGetsANewStandby) {
  auto members = fleet(8, 4);
  const ShardMap map = created(members, shards(64));
  const Placement first = map.Shards[0];
  leave(*byName(members, first.Owner.Name), at(5s).Wall);
  leave(*byName(members, first.Standby.Name), at(5s).Wall);
  ShardMap next = assign(map, members, at(0ms), shards(64)).value();
  BOOST_TEST((next.Shards[0].Owner == first.Owner));
  BOOST_TEST((next.Shards[0].Standby != first.Standby));
  const NodeId third = next.Shards[0].Standby;
  next = assign(allReady(next), members, at(1s), shards(64)).value();
  BOOST_TEST((next.Shards[0].Owner == third));
  BOOST_TEST(!next.Shards[0].LostSince.has_value());
}

// Guards against the loss of records when a whole data centre is reclaimed.
BOOST_AUTO_TEST_CASE(WholeDataCentreLeaves) {
  auto members = fleet(40, 4);
  ShardMap map = created(members, shards(256));
  for (auto &it : members)
    if (it.DataCentre == "dc1")
      leave(it, at(5s).Wall);
  map = assign(map, members, at(0ms), shards(256)).value();
  for (const Placement &p : map.Shards) {
    BOOST_TEST(!p.LostSince.has_value());
    BOOST_TEST(byName(members, p.Owner.Name)->DataCentre != "dc1");
    BOOST_TEST(byName(members, p.Standby.Name)->DataCentre != "dc1");
  }
}

// Guards against a second owner on the other side of a network partition between regions.
BOOST_AUTO_TEST_CASE(PartitionedRegionKeepsItsShards) {
  auto members = fleet(24, 6, 2);
  const ShardMap map = created(members, shards(128));
  for (auto &it : members)
    if (it.Region == "r0")
      it.State = MemberState::Dead;
  auto options = shards(128);
  options.PartitionedRegions = {"r0"};
  const auto next = assign(map, members, at(60s), options).value_or(map);
  for (std::size_t i = 0; i < 128; ++i) {
    const Placement &old = map.Shards[i];
    // The standby is in the owner's region if that region has a second data centre.
    BOOST_TEST(byName(members, old.Owner.Name)->Region ==
               byName(members, old.Standby.Name)->Region);
    BOOST_TEST((next.Shards[i] == old));
  }
}

// Guards against moving more shards than necessary when members join or die, and against new nodes
// that get no shards.
BOOST_AUTO_TEST_CASE(MovementIsLimited) {
  auto members = fleet(320, 10, 3);
  const AssignOptions options;
  ShardMap map = created(members, options);
  int settling = 0;
  while (const auto next = assign(map, members, at(1s), options)) {
    map = allReady(*next);
    BOOST_REQUIRE(++settling < 100);
  }
  BOOST_TEST_MESSAGE("a new map of 320 nodes is balanced after " << settling << " writes");
  members.push_back(member("n2000", "dc3"));
  members.back().Region = "r0";
  std::size_t moved = 0;
  int rounds = 0;
  for (; rounds < 100; ++rounds) {
    const auto next = assign(map, members, at(1s), options);
    if (!next)
      break;
    std::size_t now = 0;
    for (std::size_t i = 0; i < map.Shards.size(); ++i)
      now += map.Shards[i].Epoch != next->Shards[i].Epoch ? 1 : 0;
    BOOST_TEST(now <= options.MaxBalanceMoves);
    moved += now;
    map = allReady(*next);
  }
  std::size_t roles = 0;
  for (const Placement &p : map.Shards)
    roles += (p.Owner.Name == "n2000" ? 1 : 0) + (p.Standby.Name == "n2000" ? 1 : 0);
  BOOST_TEST_MESSAGE("one node joins 320: " << moved << " of 1,024 shards moved in " << rounds
                                            << " writes, the new node has " << roles << " roles");
  BOOST_TEST(rounds < 100);
  BOOST_TEST(roles >= 1U);
  BOOST_TEST(moved <= 8U);

  members[5].State = MemberState::Dead;
  std::size_t held = 0;
  for (const Placement &p : map.Shards)
    held += p.Owner == members[5].Id || p.Standby == members[5].Id ? 1 : 0;
  const auto next = assign(map, members, at(2s), options).value();
  std::size_t changed = 0;
  for (std::size_t i = 0; i < map.Shards.size(); ++i)
    changed += map.Shards[i].Epoch != next.Shards[i].Epoch ? 1 : 0;
  BOOST_TEST(changed == held);
}

// Guards against accepting a ready report of a node that is not the owner, of another epoch, or for
// a shard that does not exist.
BOOST_AUTO_TEST_CASE(ReadyReportsAreChecked) {
  const auto members = fleet(6, 3);
  const ShardMap map = assign({}, members, at(0ms), shards(4)).value();
  const NodeId owner = map.Shards[1].Owner;
  BOOST_TEST(!applyStandbyReady(map, map.Shards[1].Standby, {{{1, 1}}}).has_value());
  BOOST_TEST(!applyStandbyReady(map, owner, {{{1, 2}}}).has_value());
  BOOST_TEST(!applyStandbyReady(map, owner, {{{9, 1}}}).has_value());
  const auto next = applyStandbyReady(map, owner, {{{1, 1}}});
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->Shards[1].Ready);
  BOOST_TEST(next->Version == map.Version + 1);
  BOOST_TEST(!applyStandbyReady(*next, owner, {{{1, 1}}}).has_value());
}

// Guards against a sequence of deaths, restarts, departures and joins that breaks the invariants on
// which at-most-once execution depends.
BOOST_AUTO_TEST_CASE(InvariantsHoldForAnySequenceOfChanges) {
  const bool ok = rc::check("invariants of section 7", [] {
    const auto options = shards(24);
    auto members = fleet(*rc::gen::inRange<std::size_t>(1, 9), *rc::gen::inRange<std::size_t>(1, 4),
                         *rc::gen::inRange<std::size_t>(1, 3));
    ShardMap map;
    auto time = 0ms;
    std::map<std::size_t, std::uint64_t> reported;
    const int steps = *rc::gen::inRange(1, 30);
    for (int step = 0; step < steps; ++step) {
      time += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
      auto &u = members[*rc::gen::inRange<std::size_t>(0, members.size())];
      switch (*rc::gen::inRange(0, 7)) {
      case 0:
        u.State = MemberState::Dead;
        break;
      case 1:
        u.Id.Incarnation += 1;
        u.State = MemberState::Alive;
        u.LeaveBy = {};
        break;
      case 2:
        if (u.State != MemberState::Dead)
          leave(u, at(time + 5s).Wall);
        break;
      case 3:
        if (u.State == MemberState::Alive)
          u.State = MemberState::Suspect;
        break;
      case 4:
        members.push_back(member("x" + std::to_string(step), "dc" + std::to_string(step % 3)));
        break;
      default:
        if (!map.Shards.empty()) {
          const auto i = *rc::gen::inRange<std::size_t>(0, map.Shards.size());
          const Placement p = map.Shards[i];
          if (auto next =
                  applyStandbyReady(map, p.Owner, {{{static_cast<std::uint32_t>(i), p.Epoch}}})) {
            reported[i] = p.Epoch;
            map = *next;
          }
        }
      }
      const auto next = assign(map, members, at(time), options);
      const bool anyLive = std::ranges::any_of(
          members, [](const auto &it) { return it.State != MemberState::Dead; });
      RC_ASSERT(!next || next->Version == map.Version + 1);
      if (!anyLive) {
        RC_ASSERT(!next);
        continue;
      }
      const ShardMap before = map;
      if (next)
        map = *next;
      RC_ASSERT(map.Shards.size() == 24U);
      RC_ASSERT(parseShardMap(serialise(map)).value() == map);
      for (std::size_t i = 0; i < map.Shards.size(); ++i) {
        const Placement &p = map.Shards[i];
        RC_ASSERT(p.Owner.Name != p.Standby.Name);
        const auto *owner = byName(members, p.Owner.Name);
        RC_ASSERT(owner != nullptr && owner->Id == p.Owner);
        RC_ASSERT(owner->State != MemberState::Dead);
        const bool second = std::ranges::any_of(members, [&](const auto &it) {
          return it.State != MemberState::Dead && it.DataCentre != owner->DataCentre;
        });
        RC_ASSERT(second == isSet(p.Standby));
        if (second) {
          const auto *standby = byName(members, p.Standby.Name);
          RC_ASSERT(standby->Id == p.Standby);
          RC_ASSERT(standby->State != MemberState::Dead);
          RC_ASSERT(standby->DataCentre != owner->DataCentre);
        }
        if (p.Ready)
          RC_ASSERT(reported.count(i) == 1U && reported[i] == p.Epoch);
        if (before.Shards.empty())
          continue;
        const Placement &old = before.Shards[i];
        const bool same = p.Owner == old.Owner && p.Standby == old.Standby;
        RC_ASSERT(p.Epoch == old.Epoch + (same ? 0 : 1));
        // An owner that was not the ready standby lacks the records, so LostSince must be set.
        if (p.Owner != old.Owner && !(old.Ready && p.Owner == old.Standby))
          RC_ASSERT(p.LostSince == at(time).Wall);
        if (old.LostSince && at(time).Wall <= *old.LostSince + options.RetryHorizon)
          RC_ASSERT(p.LostSince && *p.LostSince >= *old.LostSince);
      }
    }
  });
  BOOST_TEST(ok);
}

// Guards against a balance move that makes one node both owner and standby: every node rejects such
// a map and could not apply any later one.
BOOST_AUTO_TEST_CASE(BalanceSwapsOwnerAndStandby) {
  const auto members = fleet(3, 3);
  ShardMap map = assign({}, members, at(0ms), shards(30)).value();
  for (std::size_t i = 0; i < map.Shards.size(); ++i) {
    map.Shards[i].Owner = members[0].Id;
    map.Shards[i].Standby = members[1 + i % 2].Id;
  }
  map = allReady(map);
  const auto next = assign(map, members, at(1s), shards(30));
  BOOST_REQUIRE(next.has_value());
  std::size_t moved = 0;
  for (std::size_t i = 0; i < map.Shards.size(); ++i) {
    if (next->Shards[i].Epoch == map.Shards[i].Epoch)
      continue;
    ++moved;
    BOOST_TEST((next->Shards[i].Owner == map.Shards[i].Standby));
    BOOST_TEST((next->Shards[i].Standby == map.Shards[i].Owner));
  }
  BOOST_TEST(moved > 0U);
  BOOST_TEST((parseShardMap(serialise(*next)) == *next));
}

// Guards against balance moves that never reach a stable map.
BOOST_AUTO_TEST_CASE(BalanceReachesAFixedPoint) {
  const bool ok = rc::check("balance reaches a fixed point", [] {
    const auto options = shards(64);
    auto members =
        fleet(*rc::gen::inRange<std::size_t>(2, 12), *rc::gen::inRange<std::size_t>(1, 5),
              *rc::gen::inRange<std::size_t>(1, 3));
    ShardMap map = created(members, options);
    const auto more = fleet(*rc::gen::inRange<std::size_t>(2, 24), 5, 2);
    for (auto it : more) {
      it.Id.Name = "m" + it.Id.Name;
      members.push_back(it);
    }
    int rounds = 0;
    while (const auto next = assign(map, members, at(1s), options)) {
      map = allReady(*next);
      RC_ASSERT(++rounds < 200);
    }
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
