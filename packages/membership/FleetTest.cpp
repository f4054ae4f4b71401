// Tests of whole fleets on a simulated network with a virtual clock.
#include "testing/MembershipFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace chervil;
using namespace chervil::membership;
using namespace chervil::testing;
using namespace std::chrono_literals;

namespace {

using Fleet = MembershipFleet;

/// Records when each node first sees the given state of the given member.
struct ArrivalTimes {
  std::map<std::size_t, Ms> First;
  ArrivalTimes(Fleet &fleet, NodeId id, MemberState state) {
    fleet.OnChange = [this, &fleet, id = std::move(id), state](std::size_t node,
                                                               const MemberChange &it) {
      if (it.Id == id && it.State == state)
        First.emplace(node, fleet.Time);
    };
  }
  /// When the last of the nodes saw it.
  Ms last() const {
    Ms t{0};
    for (const auto &[node, it] : First)
      t = std::max(t, it);
    return t;
  }
};

/// Number of nodes. 320 take minutes in a build with sanitizers, which is for memory errors and not
/// for timing.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t FullSize = 60;
#else
constexpr std::size_t FullSize = 320;
#endif

/// A fleet of FullSize nodes that has run for long enough to have no updates left to gossip.
Fleet settledFleet() {
  static const Fleet base = [] {
    Fleet fleet(FullSize);
    fleet.settle(600s);
    BOOST_REQUIRE(fleet.agreeing() == FullSize);
    fleet.run(60s);
    return fleet;
  }();
  return base;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Fleets)

// Guards against incomplete lists after all nodes start at the same time: with acknowledgements to
// joining nodes alone, 2 lists lacked a member for minutes.
BOOST_AUTO_TEST_CASE(AllStartTogether) {
  Fleet fleet(FullSize);
  const Ms joined = fleet.settle(60s);
  BOOST_TEST_MESSAGE(fleet.agreeing() << " of " << FullSize << " lists are complete after "
                                      << joined.count() << " ms");
  BOOST_TEST((joined < 30s));
}

// Guards against membership traffic of 2 KB/s or more per node, which may have 3 KB/s of control
// traffic in total (design, 1.3), against messages with more than about ten updates, and against
// false suspicions in a healthy fleet.
BOOST_AUTO_TEST_CASE(SteadyTrafficIsBounded) {
  Fleet fleet = settledFleet();
  std::size_t changes = 0;
  fleet.OnChange = [&](auto, const auto &) { ++changes; };
  for (auto &it : fleet.Nodes)
    it.BytesSent = it.LargestMessage = it.MostUpdates = 0;
  fleet.run(60s);
  std::size_t total = 0;
  std::size_t most = 0;
  std::size_t largest = 0;
  std::size_t updates = 0;
  for (const auto &it : fleet.Nodes) {
    total += it.BytesSent;
    most = std::max(most, it.BytesSent);
    largest = std::max(largest, it.LargestMessage);
    updates = std::max(updates, it.MostUpdates);
  }
  BOOST_TEST_MESSAGE("steady: mean " << total / FullSize / 60 << " B/s, most " << most / 60
                                     << " B/s, largest message " << largest << " B");
  BOOST_TEST(most / 60 < 2000U);
  BOOST_TEST(updates <= 11U);
  BOOST_TEST(changes == 0U);
}

// Guards against a joining node that learns the member list too slowly, or that the others learn of
// too slowly.
BOOST_AUTO_TEST_CASE(OneNodeJoins) {
  Fleet fleet = settledFleet();
  const std::size_t i = fleet.add(4, Birth + 1);
  Ms learned{0};
  while (live(fleet.Nodes[i].Membership).size() < FullSize + 1 && learned < 60s) {
    fleet.run(100ms);
    learned += 100ms;
  }
  const Ms known = learned + fleet.settle(60s);
  BOOST_TEST_MESSAGE("a joining node knows 320 members after "
                     << learned.count() << " ms and is known to all after " << known.count()
                     << " ms");
  BOOST_TEST((learned <= 10s));
  BOOST_TEST((known <= 20s));
}

// Guards against a joining node that takes 10 s or more to settle, without which it cannot take
// over duties, and against one that settles before it knows every member.
BOOST_AUTO_TEST_CASE(JoiningNodeSettlesInTenSeconds) {
  for (std::size_t trial = 0; trial < 3; ++trial) {
    Fleet fleet = settledFleet();
    fleet.Loss = trial == 2 ? 0.1 : 0;
    const std::size_t i = fleet.add(trial, Birth + 1);
    Ms taken{0};
    while (!isSettled(fleet.Nodes[i].Membership, fleet.now()) && taken < 30s) {
      fleet.run(50ms);
      taken += 50ms;
    }
    BOOST_TEST_MESSAGE("a joining node is settled after " << taken.count() << " ms, loss "
                                                          << fleet.Loss);
    BOOST_TEST((taken < 10s));
    BOOST_TEST(live(fleet.Nodes[i].Membership).size() == FullSize + 1);
  }
}

// Guards against a small deployment that takes 5 s or more to settle after its first start, and
// against nodes that settle with an incomplete list.
BOOST_AUTO_TEST_CASE(SmallFleetSettlesInFiveSeconds) {
  for (std::size_t n = 4; n <= 9; ++n) {
    Fleet fleet(n, n);
    Ms taken{0};
    const auto settled = [&](const SimNode &it) { return isSettled(it.Membership, fleet.now()); };
    while (!std::ranges::all_of(fleet.Nodes, settled) && taken < 30s) {
      fleet.run(50ms);
      taken += 50ms;
      for (const SimNode &it : fleet.Nodes)
        if (settled(it))
          BOOST_TEST(live(it.Membership).size() == n);
    }
    BOOST_TEST_MESSAGE(n << " nodes are settled after " << taken.count() << " ms");
    BOOST_TEST((taken < 5s));
  }
}

// Guards against a Leaving state that takes 2 s or more to reach all of 320 nodes (design, 5), with
// and without message loss.
BOOST_AUTO_TEST_CASE(LeavingReachesAllInTwoSeconds) {
  Ms worst{0};
  for (const double loss : {0.0, 0.1}) {
    Fleet fleet = settledFleet();
    fleet.Loss = loss;
    worst = 0ms;
    for (std::size_t i = 0; i < 10; ++i) {
      ArrivalTimes arrivals(fleet, fleet.id(i * 5), MemberState::Leaving);
      const Ms begin = fleet.Time;
      fleet.apply(i * 5, announceLeaving(fleet.Nodes[i * 5].Membership, fleet.now().Wall + 300s,
                                         fleet.now(), fleet.Rng));
      fleet.run(3s);
      BOOST_TEST(arrivals.First.size() == FullSize);
      worst = std::max(worst, arrivals.last() - begin);
    }
    BOOST_TEST_MESSAGE("leaving, loss " << loss << ": all of 320 nodes within " << worst.count()
                                        << " ms (worst of 10)");
    BOOST_TEST((worst < 2s));
  }
}

// Guards against Leaving states that delay each other when a whole data centre is reclaimed at
// once, and against its members staying in the lists after they stop.
BOOST_AUTO_TEST_CASE(WholeDataCentreLeavesThenStops) {
  Fleet fleet = settledFleet();
  for (auto &it : fleet.Nodes)
    it.BytesSent = 0;
  const Ms begin = fleet.Time;
  Ms last = begin;
  std::size_t seen = 0;
  fleet.OnChange = [&](auto, const MemberChange &it) {
    if (it.State == MemberState::Leaving) {
      ++seen;
      last = fleet.Time;
    }
  };
  for (std::size_t i = 0; i < FullSize; ++i)
    if (fleet.Nodes[i].Centre == 4)
      fleet.apply(i, announceLeaving(fleet.Nodes[i].Membership, fleet.now().Wall + 5s, fleet.now(),
                                     fleet.Rng));
  fleet.run(5s);
  std::size_t most = 0;
  for (const auto &it : fleet.Nodes)
    most = std::max(most, it.BytesSent);
  BOOST_TEST(seen == FullSize / 10 * FullSize);
  BOOST_TEST(((last - begin) < 2s));
  for (auto &it : fleet.Nodes)
    if (it.Centre == 4)
      it.Running = false;
  const Ms dead = fleet.settle(120s);
  BOOST_TEST(fleet.agreeing() == FullSize - FullSize / 10);
  BOOST_TEST_MESSAGE("data centre of 32 nodes leaving: known to all after "
                     << (last - begin).count() << " ms, at most " << most
                     << " B per node in 5 s; dead in all lists " << dead.count()
                     << " ms after the end");
  BOOST_TEST((dead < 30s));
  for (const auto &it : fleet.Nodes)
    if (it.Running)
      BOOST_TEST(watchers(it.Membership).count("centre-4") == 0U);
}

// Guards against a stopped node that stays in the lists, and against live nodes that are declared
// dead at the same time.
BOOST_AUTO_TEST_CASE(DeathReachesAllNodes) {
  Fleet fleet = settledFleet();
  Ms worstFirst{0};
  Ms worstLast{0};
  for (std::size_t i = 0; i < 3; ++i) {
    ArrivalTimes arrivals(fleet, fleet.id(10 + i), MemberState::Dead);
    const Ms begin = fleet.Time;
    fleet.Nodes[10 + i].Running = false;
    fleet.run(25s);
    BOOST_TEST(arrivals.First.size() == FullSize - 1 - i);
    Ms first = arrivals.last();
    for (const auto &[node, t] : arrivals.First)
      first = std::min(first, t);
    worstFirst = std::max(worstFirst, first - begin);
    worstLast = std::max(worstLast, arrivals.last() - begin);
  }
  BOOST_TEST_MESSAGE("death: first node after " << worstFirst.count() << " ms, all of 320 after "
                                                << worstLast.count() << " ms (worst of 3)");
  BOOST_TEST((worstLast < 20s));
  BOOST_TEST(fleet.agreeing() == FullSize - 3);
}

// Guards against live nodes that are declared dead because messages are lost or delayed.
BOOST_AUTO_TEST_CASE(LossAndDelayCauseNoFalseDeaths) {
  Fleet fleet = settledFleet();
  fleet.Loss = 0.1;
  fleet.ExtraDelay = 100ms;
  std::size_t dead = 0;
  std::size_t suspects = 0;
  fleet.OnChange = [&](auto, const MemberChange &it) {
    dead += it.State == MemberState::Dead ? 1 : 0;
    suspects += it.State == MemberState::Suspect ? 1 : 0;
  };
  for (auto &it : fleet.Nodes)
    it.BytesSent = 0;
  fleet.run(60s);
  std::size_t most = 0;
  for (const auto &it : fleet.Nodes)
    most = std::max(most, it.BytesSent);
  BOOST_TEST_MESSAGE("10% loss, up to 100 ms extra delay, 60 s: "
                     << suspects << " suspicions seen, " << dead << " deaths seen, at most "
                     << most / 60 << " B/s per node");
  BOOST_TEST(dead == 0U);
  BOOST_TEST(most / 60 < 3000U);
  for (const SimNode &it : fleet.Nodes)
    BOOST_TEST(unreachableRegions(it.Membership, fleet.now()).empty());
  fleet.Loss = 0;
  fleet.ExtraDelay = 0ms;
  fleet.settle(60s);
  BOOST_TEST(fleet.agreeing() == FullSize);
}

// Guards against a node that stays dead in the lists of others after a pause longer than
// SuspicionTime, or that declares others dead when it resumes.
BOOST_AUTO_TEST_CASE(PausedNodeComesBack) {
  Fleet fleet(64, 13);
  fleet.settle(60s);
  fleet.run(10s);
  std::size_t others = 0;
  std::size_t dead = 0;
  fleet.OnChange = [&](auto, const MemberChange &it) {
    if (it.State == MemberState::Dead)
      ++(it.Id == fleet.id(20) ? dead : others);
  };
  fleet.Nodes[20].PausedUntil = fleet.Time + 30s;
  fleet.run(30s);
  BOOST_TEST(dead == 63U);
  const Ms back = fleet.settle(60s);
  BOOST_TEST(fleet.agreeing() == 64U);
  BOOST_TEST(others == 0U);
  BOOST_TEST_MESSAGE("node paused for 30 s is alive in 64 lists after " << back.count() << " ms");
  BOOST_TEST((back < 20s));
}

// Guards against regions that do not reconnect after a network partition, and against unreachable
// regions that are not recognised as such.
BOOST_AUTO_TEST_CASE(RegionsReconnectAfterPartition) {
  Fleet fleet = settledFleet();
  fleet.Apart = [](auto a, auto b) { return (a == 0) != (b == 0); };
  const auto separated = [&] {
    return std::ranges::all_of(fleet.Nodes, [](const SimNode &it) {
      return std::ranges::all_of(live(it.Membership), [&](const Member *other) {
        return (it.Region == 0) == (other->Info.Region == "region-0");
      });
    });
  };
  const auto apartFrom = [](const SimNode &it) {
    return it.Region == 0 ? std::set<std::string>{"region-1", "region-2"}
                          : std::set<std::string>{"region-0"};
  };
  const auto unreachable = [&](const SimNode &it) {
    return unreachableRegions(it.Membership, fleet.now());
  };
  for (const SimNode &it : fleet.Nodes)
    BOOST_TEST(unreachable(it).empty());
  const Ms begin = fleet.Time;
  fleet.run(6s);
  for (const SimNode &it : fleet.Nodes)
    BOOST_TEST((unreachable(it) == apartFrom(it)));
  while (!separated() && fleet.Time - begin < 60s)
    fleet.run(500ms);
  const Ms recognised = fleet.Time - begin;
  BOOST_TEST(separated());
  fleet.run(20s);
  BOOST_TEST(separated());
  for (const SimNode &it : fleet.Nodes)
    BOOST_TEST((unreachable(it) == apartFrom(it)));
  fleet.Apart = [](auto, auto) { return false; };
  for (auto &it : fleet.Nodes)
    it.BytesSent = 0;
  const Ms healed = fleet.settle(300s);
  std::size_t most = 0;
  for (const auto &it : fleet.Nodes)
    most = std::max(most, it.BytesSent);
  BOOST_TEST(fleet.agreeing() == FullSize);
  BOOST_TEST_MESSAGE("partition between regions: all lists show it after "
                     << recognised.count() << " ms; all lists are complete " << healed.count()
                     << " ms after the partition ends, at most "
                     << most * 1000 / static_cast<std::size_t>(healed.count() + 1)
                     << " B/s per node");
  BOOST_TEST((healed < 120s));
  for (const SimNode &it : fleet.Nodes)
    BOOST_TEST(unreachable(it).empty());
}

BOOST_AUTO_TEST_SUITE_END()
