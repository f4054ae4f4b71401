#include "membership/Membership.h"
#include "membership/Queries.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace chervil;
using namespace chervil::membership;
using message::MemberState;
using message::MemberUpdate;
using namespace std::chrono_literals;

namespace {

/// Incarnations are start times in ms since the Unix epoch.
constexpr std::uint64_t FirstIncarnation = 1764800000000;

Now at(std::chrono::milliseconds t) {
  return {TimePoint(t), WallTime(std::chrono::milliseconds(FirstIncarnation) + 1h + t)};
}

MemberUpdate member(const std::string &name, const std::string &dataCentre = "a",
                    std::uint64_t incarnation = FirstIncarnation) {
  MemberUpdate u;
  u.Id = {name, incarnation};
  u.Region = "r";
  u.DataCentre = dataCentre;
  u.PeerAddress = name + ":1";
  u.CallerAddress = name + ":2";
  return u;
}

MemberUpdate with(MemberUpdate u, MemberState state, std::uint32_t refutation = 0) {
  u.State = state;
  u.Refutation = refutation;
  return u;
}

/// A node "self" with the seed "peer". receive() delivers a ping with the given updates from
/// "peer".
struct Fixture {
  Random Rng{1};
  State Node = start(member("self"), {"peer:1"}, {}, at(0ms));

  Effects receive(std::vector<MemberUpdate> updates, std::chrono::milliseconds t = 0ms) {
    return onPing(Node, {"peer", FirstIncarnation}, "peer:1", {0, std::move(updates), 0}, at(t),
                  Rng);
  }
};

bool contains(const Effects &effects, const NodeId &id, MemberState state) {
  return std::ranges::any_of(
      effects.Changes, [&](const MemberChange &it) { return it.Id == id && it.State == state; });
}

template <typename T> std::vector<std::pair<std::string, T>> sent(const Effects &effects) {
  std::vector<std::pair<std::string, T>> list;
  for (const OutgoingMessage &it : effects.Messages)
    if (const T *body = std::get_if<T>(&it.Body))
      list.emplace_back(it.Address, *body);
  return list;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Membership)

// Guards against a starting node that never contacts its seeds.
BOOST_AUTO_TEST_CASE(StartProbesTheSeeds) {
  Fixture f;
  const auto pings = sent<message::Ping>(tick(f.Node, at(50ms), f.Rng));
  BOOST_REQUIRE(!pings.empty());
  BOOST_TEST(pings.front().first == "peer:1");
  BOOST_TEST(pings.front().second.Updates.front().Id.Name == "self");
}

// Guards against two incarnations of one name that are live at the same time.
BOOST_AUTO_TEST_CASE(NewerIncarnationReplacesTheOlder) {
  Fixture f;
  f.receive({member("b")});
  const auto effects = f.receive({member("b", "a", FirstIncarnation + 5)});
  BOOST_TEST(contains(effects, {"b", FirstIncarnation}, MemberState::Dead));
  BOOST_TEST(contains(effects, {"b", FirstIncarnation + 5}, MemberState::Alive));
  BOOST_TEST(find(f.Node, {"b", FirstIncarnation}) == nullptr);
  BOOST_TEST(f.receive({member("b")}).Changes.empty());
  BOOST_TEST(find(f.Node, {"b", FirstIncarnation + 5}) != nullptr);
}

// Guards against a process that continues to run after a newer incarnation has replaced it.
BOOST_AUTO_TEST_CASE(ReplacedProcessIsTold) {
  Fixture f;
  f.receive({member("b", "a", FirstIncarnation + 5)});
  const auto acks = sent<message::Ack>(
      onPing(f.Node, {"b", FirstIncarnation}, "b:1", {9, {member("b")}, 0}, at(10ms), f.Rng));
  BOOST_REQUIRE(acks.size() == 1U);
  BOOST_TEST(acks[0].second.Updates.back().Id.Incarnation == FirstIncarnation + 5);
  State old = start(member("b"), {}, {}, at(0ms));
  const auto effects =
      onAck(old, {"self", FirstIncarnation}, "self:1", acks[0].second, at(20ms), f.Rng);
  BOOST_TEST(old.Replaced);
  BOOST_TEST(contains(effects, {"b", FirstIncarnation}, MemberState::Dead));
}

// Guards against a delayed update that makes a leaving member count as staying again, or that
// postpones its deadline.
BOOST_AUTO_TEST_CASE(LeavingIsPermanentWithTheEarliestDeadline) {
  Fixture f;
  auto u = with(member("b"), MemberState::Leaving);
  u.LeaveBy = at(60s).Wall;
  f.receive({member("b"), u});
  f.receive({with(member("b"), MemberState::Alive, 7)});
  BOOST_TEST(isLeaving(f.Node, {"b", FirstIncarnation}));
  BOOST_TEST((find(f.Node, {"b", FirstIncarnation})->Info.State == MemberState::Leaving));
  u.LeaveBy = at(90s).Wall;
  f.receive({u});
  BOOST_TEST((find(f.Node, {"b", FirstIncarnation})->Info.LeaveBy == at(60s).Wall));
  applyVmNotices(f.Node, std::vector<VmNotice>{{"b", true, at(30s).Wall}, {"b", false, {}}},
                 at(1s));
  BOOST_TEST((find(f.Node, {"b", FirstIncarnation})->Info.LeaveBy == at(30s).Wall));
  f.receive({member("b", "a", FirstIncarnation + 5)});
  BOOST_TEST(!isLeaving(f.Node, {"b", FirstIncarnation + 5}));
}

// Guards against marking a new VM as leaving because the VM list, which lags, still shows an
// earlier VM of the same name.
BOOST_AUTO_TEST_CASE(NoticeForAnEarlierVmIsIgnored) {
  Fixture f;
  f.receive({member("b")});
  const WallTime before(std::chrono::milliseconds(FirstIncarnation - 1));
  BOOST_TEST(
      applyVmNotices(f.Node, std::vector<VmNotice>{{"b", true, before}}, at(1s)).Changes.empty());
  BOOST_TEST(!isLeaving(f.Node, {"b", FirstIncarnation}));
  const auto effects = applyVmNotices(f.Node, std::vector<VmNotice>{{"b", true, {}}}, at(1s));
  BOOST_TEST(contains(effects, {"b", FirstIncarnation}, MemberState::Leaving));
  BOOST_TEST((find(f.Node, {"b", FirstIncarnation})->Info.LeaveBy == at(6s).Wall));
}

// Guards against an announcement that waits for the next push round.
BOOST_AUTO_TEST_CASE(AnnouncementIsPushedAtOnce) {
  Fixture f;
  f.receive({member("b"), member("c"), member("d"), member("e")});
  const auto effects = announceLeaving(f.Node, at(5s).Wall, at(100ms), f.Rng);
  const auto pings = sent<message::Ping>(effects);
  BOOST_TEST(pings.size() == 3U);
  for (const auto &[address, ping] : pings) {
    BOOST_TEST(ping.Seq == 0U);
    BOOST_TEST((ping.Updates.at(0).State == MemberState::Leaving));
  }
  BOOST_TEST(contains(effects, {"self", FirstIncarnation}, MemberState::Leaving));
}

// Guards against suspecting a member after one lost message, and against never suspecting a member
// that has stopped.
BOOST_AUTO_TEST_CASE(SilentMemberIsProbedIndirectlyThenSuspectedThenDead) {
  Fixture f;
  f.Node.Settings.JoinTime = 0ms;
  f.receive({member("b")});
  std::vector<std::pair<std::chrono::milliseconds, MemberState>> seen;
  for (auto t = 50ms; t < 12s; t += 50ms)
    for (const MemberChange &it : tick(f.Node, at(t), f.Rng).Changes)
      seen.emplace_back(t, it.State);
  BOOST_REQUIRE(seen.size() == 2U);
  BOOST_TEST((seen[0].second == MemberState::Suspect));
  BOOST_TEST((seen[1].second == MemberState::Dead));
  BOOST_TEST((seen[1].first - seen[0].first >= f.Node.Settings.SuspicionTime));
}

// Guards against an indirect probe whose acknowledgement is not relayed to the requester.
BOOST_AUTO_TEST_CASE(IndirectProbeIsRelayed) {
  Fixture f;
  f.receive({member("b")});
  const auto pings = sent<message::Ping>(
      onPingRequest(f.Node, {"peer", FirstIncarnation}, "peer:1",
                    {77, {"b", FirstIncarnation}, {member("peer")}}, at(100ms), f.Rng));
  BOOST_REQUIRE(pings.size() == 1U);
  BOOST_TEST(pings[0].first == "b:1");
  const auto acks = sent<message::Ack>(onAck(f.Node, {"b", FirstIncarnation}, "b:1",
                                             {pings[0].second.Seq, {"b", FirstIncarnation}, {}, 0},
                                             at(110ms), f.Rng));
  BOOST_REQUIRE(acks.size() == 1U);
  BOOST_TEST(acks[0].first == "peer:1");
  BOOST_TEST(acks[0].second.Seq == 77U);
  BOOST_TEST(acks[0].second.Subject.Name == "b");
}

// Guards against a live node that stays dead in the lists of others after it was declared dead.
BOOST_AUTO_TEST_CASE(DeclaredDeadNodeRefutesAndIsAliveAgain) {
  Fixture f;
  const auto pings = sent<message::Ping>(f.receive({with(member("self"), MemberState::Dead, 3)}));
  BOOST_REQUIRE(pings.size() == 1U);
  const MemberUpdate refutation = pings[0].second.Updates.front();
  BOOST_TEST(refutation.Refutation == 4U);

  Fixture other;
  other.receive({member("b"), with(member("b"), MemberState::Dead, 3)});
  BOOST_TEST((findByName(other.Node, "b")->Info.State == MemberState::Dead));
  const auto effects = other.receive({with(member("b"), MemberState::Alive, 4)});
  BOOST_TEST(contains(effects, {"b", FirstIncarnation}, MemberState::Alive));
}

// Guards against a paused node that declares the members it suspected dead when it resumes.
BOOST_AUTO_TEST_CASE(PausedNodeRestartsItsSuspicions) {
  Fixture f;
  f.Node.Settings.JoinTime = 0ms;
  f.receive({member("b"), with(member("c"), MemberState::Suspect)});
  tick(f.Node, at(50ms), f.Rng);
  const auto effects = tick(f.Node, at(60s), f.Rng);
  BOOST_TEST(effects.Changes.empty());
}

// Guards against dead members that are never removed, and against gossip that adds them again.
BOOST_AUTO_TEST_CASE(DeadMembersAreRemoved) {
  Fixture f;
  f.receive({member("b"), with(member("b"), MemberState::Dead)});
  for (auto t = 0ms; t <= 2h + 1s; t += 500ms)
    tick(f.Node, at(t), f.Rng);
  BOOST_TEST(findByName(f.Node, "b") == nullptr);
  f.receive({with(member("b"), MemberState::Dead)}, 2h + 2s);
  BOOST_TEST(findByName(f.Node, "b") == nullptr);
}

// Guards against more than two watchers per data centre, and against leaving members as watchers.
BOOST_AUTO_TEST_CASE(WatchersAreTheLowestNamesPerDataCentre) {
  Fixture f;
  auto leaving = with(member("a1", "a"), MemberState::Leaving);
  leaving.LeaveBy = at(60s).Wall;
  f.receive({leaving, member("a2"), member("a3"), member("b2", "b"), member("b1", "b"),
             member("b3", "b"), with(member("a0"), MemberState::Dead)});
  const auto all = watchers(f.Node);
  BOOST_REQUIRE(all.size() == 2U);
  BOOST_TEST(all.at("a")[0].Name == "a2");
  BOOST_TEST(all.at("a")[1].Name == "a3");
  BOOST_TEST(all.at("b")[0].Name == "b1");
  BOOST_TEST(all.at("b")[1].Name == "b2");
  BOOST_TEST(isWatcher(f.Node, {"b1", FirstIncarnation}));
  BOOST_TEST(!isWatcher(f.Node, {"b3", FirstIncarnation}));
}

// Guards against an entry list that directs all callers to one node, or to a node that is leaving
// or overloaded.
BOOST_AUTO_TEST_CASE(EntryListDistributesCallersOverTheLeastLoaded) {
  Fixture f;
  setLoad(f.Node, 95, at(10s));
  auto leaving = with(member("l"), MemberState::Leaving);
  leaving.LeaveBy = at(60s).Wall;
  auto busy = member("busy");
  busy.Load = 60;
  f.receive({leaving, busy, member("b"), member("c"), member("d")}, 10s);
  std::set<std::string> first;
  for (int i = 0; i < 100; ++i) {
    const auto list = entryList(f.Node, "caller" + std::to_string(i), 10);
    BOOST_REQUIRE(list.size() == 4U);
    BOOST_TEST(list.back()->Info.Id.Name == "busy");
    first.insert(list.front()->Info.Id.Name);
    BOOST_TEST(entryList(f.Node, "caller" + std::to_string(i), 1).front() == list.front());
  }
  BOOST_TEST(first.size() == 3U);
}

// Guards against lists that stay different when no updates are left to gossip, and against an
// exchange that sends whole lists for a few differences.
BOOST_AUTO_TEST_CASE(ExchangeRepairsBothListsWithFewUpdates) {
  Random rng(1);
  State one = start(member("one"), {"two:1"}, {}, at(0ms));
  State two = start(member("two"), {"one:1"}, {}, at(0ms));
  const auto receive = [&](State &state, const std::string &peer, const MemberUpdate &u) {
    onPing(state, {peer, FirstIncarnation}, peer + ":1", {0, {member(peer), u}, 0}, at(0ms), rng);
  };
  for (int i = 0; i < 300; ++i) {
    const MemberUpdate u = member("m" + std::to_string(i));
    if (i != 7)
      receive(one, "two", u);
    if (i != 9)
      receive(two, "one", u);
  }
  const Digest before = makeDigest(one);
  BOOST_TEST(before.Hash != makeDigest(two).Hash);
  const auto request = sent<message::MemberExchange>(
      onPing(one, {"two", FirstIncarnation}, "two:1",
             {0, {member("two")}, 0, 301, makeDigest(two).Hash}, at(60s), rng));
  BOOST_REQUIRE(request.size() == 1U);
  const auto answer = sent<message::MemberExchange>(
      onExchange(two, {"one", FirstIncarnation}, "one:1", request[0].second, at(60s)));
  BOOST_REQUIRE(answer.size() == 1U);
  const auto rest = sent<message::MemberExchange>(
      onExchange(one, {"two", FirstIncarnation}, "two:1", answer[0].second, at(60s)));
  BOOST_REQUIRE(rest.size() == 1U);
  const auto last = onExchange(two, {"one", FirstIncarnation}, "one:1", rest[0].second, at(60s));
  BOOST_TEST(last.Messages.empty());
  BOOST_TEST(makeDigest(one).Hash == makeDigest(two).Hash);
  BOOST_TEST(makeDigest(one).Count == 302U);
  BOOST_TEST(answer[0].second.Updates.size() + rest[0].second.Updates.size() < 40U);
}

// Guards against an exchange after a network partition that declares live members dead, and against
// one that adds dead members again.
BOOST_AUTO_TEST_CASE(DeathInAnExchangeIsOnlyASuspicion) {
  Fixture f;
  f.receive({member("peer"), member("b")});
  const message::MemberExchange exchange{
      {}, {with(member("b"), MemberState::Dead), with(member("c"), MemberState::Dead)}, true, true};
  const auto effects = onExchange(f.Node, {"peer", FirstIncarnation}, "peer:1", exchange, at(1s));
  BOOST_TEST(contains(effects, {"b", FirstIncarnation}, MemberState::Suspect));
  BOOST_TEST((findByName(f.Node, "b")->Info.State == MemberState::Suspect));
  BOOST_TEST(findByName(f.Node, "c") == nullptr);
}

// Guards against an answer to a node of a version with another number of buckets, which cannot be
// compared.
BOOST_AUTO_TEST_CASE(ExchangeWithOtherBucketsIsIgnored) {
  Fixture f;
  f.receive({member("peer"), member("b")});
  message::MemberExchange exchange;
  exchange.Buckets.resize(DigestBuckets + 1);
  BOOST_TEST(
      onExchange(f.Node, {"peer", FirstIncarnation}, "peer:1", exchange, at(1s)).Messages.empty());
}

// Guards against treating shard owners as gone because the member list is incomplete: too few peers
// hold the same list, members were added since, or this process was paused.
BOOST_AUTO_TEST_CASE(SettledNeedsAgreementOfSeveralPeers) {
  Fixture f;
  f.receive({member("peer"), member("b"), member("c"), member("d")});
  const auto agree = [&](const std::string &name, std::chrono::milliseconds t) {
    const Digest list = makeDigest(f.Node);
    onPing(f.Node, {name, FirstIncarnation}, name + ":1",
           {0, {member(name)}, 0, list.Count, list.Hash}, at(t), f.Rng);
  };
  tick(f.Node, at(3s), f.Rng);
  BOOST_TEST(!isSettled(f.Node, at(1h)));
  agree("peer", 3s);
  agree("peer", 3s);
  agree("b", 3s);
  BOOST_TEST(!isSettled(f.Node, at(3s)));
  f.receive({member("e")}, 3s);
  agree("c", 3s);
  BOOST_TEST(!isSettled(f.Node, at(3s)));
  agree("d", 3s);
  agree("e", 3s);
  BOOST_TEST(isSettled(f.Node, at(3s)));
  tick(f.Node, at(60s), f.Rng);
  BOOST_TEST(!isSettled(f.Node, at(60s)));
}

// Guards against nodes that start together and settle on equal lists before they know the rest of
// the fleet.
BOOST_AUTO_TEST_CASE(SettledNeedsTime) {
  Fixture f;
  f.receive({member("peer")});
  const Digest list = makeDigest(f.Node);
  const message::Ping ping{0, {member("peer")}, 0, list.Count, list.Hash};
  onPing(f.Node, {"peer", FirstIncarnation}, "peer:1", ping, at(1s), f.Rng);
  BOOST_TEST(!isSettled(f.Node, at(1s)));
  onPing(f.Node, {"peer", FirstIncarnation}, "peer:1", ping, at(2s), f.Rng);
  BOOST_TEST(isSettled(f.Node, at(2s)));
}

// Guards against a region that counts as unreachable although its members are reached by others or
// have left, and against a node that is cut off itself and reports all regions as unreachable.
BOOST_AUTO_TEST_CASE(SilentRegionIsUnreachable) {
  const auto inRegion = [](const std::string &name, const std::string &region) {
    MemberUpdate u = member(name, region);
    u.Region = region;
    return u;
  };
  using Regions = std::set<std::string>;
  Fixture f;
  auto gone = inRegion("gone", "left");
  gone.LeaveBy = at(60s).Wall;
  f.receive({member("peer"), inRegion("a", "far"), inRegion("b", "other"), gone});
  BOOST_TEST((unreachableRegions(f.Node, at(4900ms)) == Regions{}));
  f.receive({with(inRegion("b", "other"), MemberState::Alive, 1)}, 4900ms);
  BOOST_TEST((unreachableRegions(f.Node, at(5s)) == Regions{"far"}));
  onAck(f.Node, {"peer", FirstIncarnation}, "peer:1",
        {5, {"a", FirstIncarnation}, {member("peer")}, 0}, at(6s), f.Rng);
  BOOST_TEST((unreachableRegions(f.Node, at(6s)) == Regions{}));
  // Nothing was received from any member for RegionTimeout: this node is cut off.
  BOOST_TEST((unreachableRegions(f.Node, at(20s)) == Regions{}));
}

// Guards against lists that depend on the order of updates: all nodes that received the same
// updates must hold the same list.
BOOST_AUTO_TEST_CASE(ListsAgreeWhateverTheOrderOfUpdates) {
  const bool ok = rc::check("order of updates does not matter", [] {
    std::vector<MemberUpdate> updates{member("b")};
    const int n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; ++i) {
      auto u = with(member("b", "a", FirstIncarnation + *rc::gen::inRange<std::uint64_t>(0, 2)),
                    static_cast<MemberState>(*rc::gen::inRange(0, 4)),
                    *rc::gen::inRange<std::uint32_t>(0, 3));
      if (u.State == MemberState::Leaving || *rc::gen::inRange(0, 5) == 0)
        u.LeaveBy = WallTime(std::chrono::milliseconds(*rc::gen::inRange(1, 5)));
      updates.push_back(u);
    }
    Fixture one;
    Fixture two;
    one.receive({member("b")});
    two.receive({member("b")});
    for (const auto &it : updates)
      one.receive({it});
    std::shuffle(updates.begin(), updates.end(), two.Rng);
    for (const auto &it : updates)
      two.receive({it});
    const MemberUpdate x = findByName(one.Node, "b")->Info;
    const MemberUpdate y = findByName(two.Node, "b")->Info;
    RC_ASSERT(x.Id == y.Id);
    RC_ASSERT(x.State == y.State);
    RC_ASSERT(x.Refutation == y.Refutation);
    RC_ASSERT(x.LeaveBy == y.LeaveBy);
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
