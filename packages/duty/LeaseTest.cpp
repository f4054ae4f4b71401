#include "duty/Lease.h"
#include "base/Random.h"
#include "duty/Holder.h"
#include "duty/JumpTolerantClock.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace chervil;
using namespace chervil::duty;
using namespace std::chrono_literals;

namespace {

/// Model of the store with one key that may be attached to a lease, and the node that last wrote
/// it.
struct FakeStore {
  std::uint64_t Revision = 1;
  std::uint64_t NextLease = 1;
  std::map<std::uint64_t, TimePoint> Leases;
  std::optional<store::Item> Key;
  std::optional<LastHolder> Last;
  std::uint64_t LastRevision = 0;
  /// 0 if the answers do not name it.
  std::uint64_t Era = 0;

  void expire(TimePoint now) {
    std::erase_if(Leases, [&](const auto &it) { return it.second <= now; });
    if (Key && !Leases.contains(Key->Lease)) {
      Key.reset();
      ++Revision;
    }
  }
};

struct Node {
  duty::Lease L;
  bool Paused = false;
  /// No call of the node reaches the store.
  bool IsCutOff = false;
  /// What it has read of the store.
  std::optional<store::Item> Key;
  std::optional<LastHolder> Last;
  std::uint64_t LastRevision = 0;

  const store::Item *seenKey() const { return Key ? &*Key : nullptr; }
};

/// Reads the store as the watch of a node does.
void read(const FakeStore &s, Node &n, const Now &now) {
  onStoreRestored(n.L, s.Era, now);
  n.Key = s.Key;
  n.Last = s.Last;
  n.LastRevision = s.LastRevision;
}

/// A claim as the store gets it.
struct Claim {
  LastHolder From;
  std::string Value;
  std::uint64_t LeaseId = 0;
  std::uint64_t LastRevision = 0;
};

Claim claimOf(const Node &n, std::uint64_t lease) {
  return {{n.L.Options.Node, n.L.Era}, n.L.Options.Value, lease, n.LastRevision};
}

/// Returns the revision of the key, or 0 if a condition does not hold.
std::uint64_t execute(FakeStore &s, const Claim &claim) {
  if (!s.Leases.contains(claim.LeaseId) || s.Key || claim.LastRevision != s.LastRevision)
    return 0;
  const std::uint64_t revision = ++s.Revision;
  s.Key = store::Item{"k", claim.Value, revision, revision, claim.LeaseId};
  s.Last = claim.From;
  s.LastRevision = revision;
  return revision;
}

/// Executes a call; if `lost`, the answer is lost after the call took effect. An answer that names
/// a later era does not count.
void serve(FakeStore &s, Node &n, const LeaseCall &call, const Now &now, bool lost) {
  s.expire(now.Steady);
  const bool isNewEra = !lost && s.Era > n.L.Era;
  lost = lost || isNewEra;
  bool found = true;
  std::uint64_t result = 0;
  switch (call.Type) {
  case LeaseCall::Kind::Create:
    result = s.NextLease++;
    s.Leases[result] = now.Steady + n.L.Options.Ttl;
    if (!lost)
      onCreated(n.L, result, now);
    break;
  case LeaseCall::Kind::Claim:
    found = s.Leases.contains(call.LeaseId);
    result = execute(s, claimOf(n, call.LeaseId));
    if (!lost && !found)
      onLeaseNotFound(n.L, now);
    else if (!lost && result != 0)
      onClaimed(n.L, result, now);
    else if (!lost)
      onClaimRefused(n.L, now);
    break;
  case LeaseCall::Kind::Renew:
    found = s.Leases.contains(call.LeaseId);
    if (found)
      s.Leases[call.LeaseId] = now.Steady + n.L.Options.Ttl;
    if (!lost && found)
      onRenewed(n.L, now);
    else if (!lost)
      onLeaseNotFound(n.L, now);
    break;
  case LeaseCall::Kind::End:
    s.Leases.erase(call.LeaseId);
    if (!lost)
      onEnded(n.L);
    break;
  }
  s.expire(now.Steady);
  if (isNewEra)
    onStoreRestored(n.L, s.Era, now);
  if (lost)
    onCallFailed(n.L, now);
}

/// Lets the node create its lease and claim the free duty.
void takeDuty(FakeStore &s, Node &n, const Now &now) {
  read(s, n, now);
  for (int i = 0; i < 3; ++i)
    if (const auto call = nextCall(n.L, s.Key ? &*s.Key : nullptr, true, now))
      serve(s, n, *call, now, false);
}

} // namespace

BOOST_AUTO_TEST_SUITE(DutyLease)

// Guards against two nodes that act at the same time, an old fencing token used after a newer one,
// and a token used by two holders, with paused nodes, lost answers and a store that does not
// answer.
BOOST_AUTO_TEST_CASE(OneHolderActsAtATime) {
  BOOST_TEST(rc::check([] {
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto draw = [&](int n) { return std::uniform_int_distribution(0, n - 1)(rng); };
    FakeStore s;
    std::vector<Node> nodes(3);
    for (std::size_t i = 0; i < nodes.size(); ++i)
      nodes[i].L.Options.Value = "n" + std::to_string(i);
    Now now{TimePoint(1000s), WallTime(0s)};
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::size_t> tokens;
    for (int step = 0; step < 400; ++step) {
      now.Steady += 100ms;
      s.expire(now.Steady);
      std::size_t holders = 0;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node &n = nodes[i];
        if (draw(60) == 0)
          n.Paused = !n.Paused;
        // A paused node is checked too, because it would act on its current state when it resumes.
        if (isHeld(n.L, now)) {
          ++holders;
          RC_ASSERT(n.L.FencingToken >= highest);
          highest = n.L.FencingToken;
          RC_ASSERT(tokens.emplace(n.L.FencingToken, i).first->second == i);
        }
        if (n.Paused)
          continue;
        read(s, n, now);
        onHolderRead(n.L, n.seenKey(), now);
        const auto call = nextCall(n.L, n.seenKey(), true, now);
        if (!call)
          continue;
        const int luck = draw(10);
        if (luck == 0)
          onCallFailed(n.L, now);
        else
          serve(s, n, *call, now, luck == 1);
      }
      RC_ASSERT(holders <= 1U);
    }
  }));
}

// Guards against two holders, or a fencing token that is given out again, after the store has come
// back from an older copy in which leases, keys and revisions are those of some seconds ago.
BOOST_AUTO_TEST_CASE(RestoredStoreHasOneHolderAndNewTokens) {
  BOOST_TEST(rc::check([] {
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto draw = [&](int n) { return std::uniform_int_distribution(0, n - 1)(rng); };
    FakeStore s;
    std::uint64_t era = 1;
    std::vector<FakeStore> copies;
    std::vector<Node> nodes(3);
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      nodes[i].L.Era = era;
      nodes[i].L.Options.Value = "n" + std::to_string(i);
    }
    Now now{TimePoint(1000s), WallTime(0s)};
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::size_t> tokens;
    std::size_t held = 0;
    for (int step = 0; step < 600; ++step) {
      now.Steady += 100ms;
      s.expire(now.Steady);
      copies.push_back(s);
      if (draw(80) == 0) {
        const std::size_t age = static_cast<std::size_t>(draw(90)) + 1;
        s = copies[copies.size() - std::min(age, copies.size())];
        // Leases run on from the return.
        for (auto &[id, until] : s.Leases)
          until = now.Steady + 3s;
        ++era;
        // The store was away for longer than leases last without a confirmation.
        now.Steady += 3s;
        for (Node &n : nodes)
          onStoreRestored(n.L, era, now);
      }
      std::size_t holders = 0;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node &n = nodes[i];
        if (isHeld(n.L, now)) {
          ++holders;
          ++held;
          RC_ASSERT(n.L.FencingToken >= highest);
          highest = n.L.FencingToken;
          RC_ASSERT(tokens.emplace(n.L.FencingToken, i).first->second == i);
        }
        read(s, n, now);
        onHolderRead(n.L, n.seenKey(), now);
        if (draw(200) == 0) {
          // The node starts anew, and its value tells the starts apart.
          n.L = {};
          n.L.Era = era;
          n.L.Options.Value = "n" + std::to_string(i) + "/" + std::to_string(step);
        }
        n.L.Resigning = n.L.Resigning || draw(200) == 0;
        if (const auto call = nextCall(n.L, n.seenKey(), true, now))
          serve(s, n, *call, now, draw(10) == 0);
      }
      RC_ASSERT(holders <= 1U);
    }
    RC_ASSERT(held > 100U);
  }));
}

// Guards against a node that acts as holder after the store has forgotten it, or that gives up the
// duty although the copy still has its key.
BOOST_AUTO_TEST_CASE(LeaseIsVerifiedAfterARestore) {
  for (const bool isKept : {true, false}) {
    FakeStore s;
    Node n;
    n.L.Era = 1;
    n.L.Options.Value = "n";
    Now now{TimePoint(1000s), WallTime(0s)};
    takeDuty(s, n, now);
    BOOST_TEST(isHeld(n.L, now));
    const std::uint64_t token = n.L.FencingToken;
    onStoreRestored(n.L, 2, now);
    BOOST_TEST(!isHeld(n.L, now));
    BOOST_TEST(!nextCall(n.L, &*s.Key, true, now).has_value());
    onHolderRead(n.L, isKept ? &*s.Key : nullptr, now);
    BOOST_TEST(isHeld(n.L, now) == isKept);
    BOOST_TEST(n.L.FencingToken == (isKept ? token : 0));
  }
}

// Guards against a second holder after a return of the store that executes a claim sent before it:
// the holder of the earlier era may still act.
BOOST_AUTO_TEST_CASE(ClaimOfAnEarlierEraDoesNotActAtOnce) {
  FakeStore s;
  Node n;
  n.L.Era = 1;
  n.L.Options.Value = "n";
  Now now{TimePoint(1000s), WallTime(0s)};
  const auto create = nextCall(n.L, nullptr, true, now);
  BOOST_REQUIRE(create.has_value());
  serve(s, n, *create, now, false);
  const auto claim = nextCall(n.L, nullptr, true, now);
  BOOST_REQUIRE(claim.has_value());
  onCallFailed(n.L, now);
  s.Era = 2;
  BOOST_TEST(execute(s, claimOf(n, claim->LeaseId)) > 0U);
  read(s, n, now);
  onHolderRead(n.L, n.seenKey(), now);
  const TimePoint end = now.Steady + n.L.Options.Ttl;
  for (; now.Steady < end; now.Steady += 100ms) {
    if (const auto call = nextCall(n.L, n.seenKey(), true, now))
      serve(s, n, *call, now, false);
    BOOST_TEST(!isHeld(n.L, now));
  }
  BOOST_TEST(isHeld(n.L, now));
}

// Guards against a duty that stays unavailable after its holder was shut down in order.
BOOST_AUTO_TEST_CASE(ResigningFreesTheDuty) {
  FakeStore s;
  Node n;
  n.L.Options.Value = "n";
  Now now{TimePoint(1000s), WallTime(0s)};
  takeDuty(s, n, now);
  BOOST_TEST(isHeld(n.L, now));
  n.L.Resigning = true;
  BOOST_TEST(!isHeld(n.L, now));
  const auto call = nextCall(n.L, &*s.Key, true, now);
  BOOST_REQUIRE(call.has_value());
  serve(s, n, *call, now, false);
  BOOST_TEST(!s.Key.has_value());
}

// Guards against a call of a holder that stops which reaches the platform after those of the next
// holder: the lease was revoked while the call was under way.
BOOST_AUTO_TEST_CASE(LeaseIsKeptUntilActionsHaveEnded) {
  FakeStore s;
  Node n;
  n.L.Options.Value = "n";
  Now now{TimePoint(1000s), WallTime(0s)};
  takeDuty(s, n, now);
  onActionStarted(n.L);
  onActionStarted(n.L);
  n.L.Resigning = true;
  BOOST_TEST(!nextCall(n.L, &*s.Key, true, now).has_value());
  onActionEnded(n.L, true, now);
  BOOST_TEST(!nextCall(n.L, &*s.Key, true, now).has_value());
  onActionEnded(n.L, true, now);
  const auto call = nextCall(n.L, &*s.Key, true, now);
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST((call->Type == LeaseCall::Kind::End));
}

// Guards against a call that is under way when the lease expires: it was bounded by 1 s, 0.9 s
// before the end of the lease.
BOOST_AUTO_TEST_CASE(ActionsEndBeforeTheLeaseCanExpire) {
  FakeStore s;
  Node n;
  n.L.Options.Value = "n";
  Now now{TimePoint(1000s), WallTime(0s)};
  takeDuty(s, n, now);
  const TimePoint end = s.Leases.at(n.L.LeaseId);
  for (; isHeld(n.L, now); now.Steady += 100ms) {
    const auto timeout = actionTimeout(n.L, now);
    BOOST_REQUIRE(timeout.has_value());
    BOOST_TEST((*timeout > 0ms));
    BOOST_TEST((now.Steady + *timeout + ActionOverrun <= end));
  }
  // A process may be suspended between its decision to act and the action.
  BOOST_TEST(!actionTimeout(n.L, now).has_value());
  BOOST_TEST((now.Steady - TimePoint(1000s) > 2s));
}

// Guards against a node that acts again within the lease time although another has acted since.
BOOST_AUTO_TEST_CASE(DutyIsNotTakenBackWithinALeaseTime) {
  Lease lease;
  lease.Options.Node = "a";
  Now now{TimePoint(1000s), WallTime(0s)};
  lease.QuietSince = now.Steady;
  BOOST_TEST(mayClaim(lease, std::nullopt, now));
  BOOST_TEST(mayClaim(lease, LastHolder{"a"}, now));
  // An earlier process of the node may have acted just before this one started.
  BOOST_TEST(!mayClaim(lease, LastHolder{"b"}, now));
  now.Steady += 3s;
  BOOST_TEST(mayClaim(lease, LastHolder{"b"}, now));
  onActionStarted(lease);
  now.Steady += 1s;
  BOOST_TEST(!mayClaim(lease, LastHolder{"a"}, now));
  onActionEnded(lease, true, now);
  BOOST_TEST(mayClaim(lease, LastHolder{"a"}, now));
  now.Steady += 2900ms;
  BOOST_TEST(!mayClaim(lease, LastHolder{"b"}, now));
  now.Steady += 100ms;
  BOOST_TEST(mayClaim(lease, LastHolder{"b"}, now));
  onActionStarted(lease);
  onActionEnded(lease, false, now);
  now.Steady += 3400ms;
  BOOST_TEST(!mayClaim(lease, LastHolder{"b"}, now));
  now.Steady += 100ms;
  BOOST_TEST(mayClaim(lease, LastHolder{"b"}, now));
}

/// The platform: sees when actions take effect.
struct FakePlatform {
  struct Action {
    std::size_t Node = 0;
    std::uint64_t Token = 0;
    TimePoint Effect;
  };
  std::vector<Action> Actions;
  std::uint64_t HighestToken = 0;
  std::map<std::size_t, TimePoint> LastEffect;
  /// By node: its last effect before the latest one of another node.
  std::map<std::size_t, TimePoint> LastBeforeOther;
  std::size_t Effects = 0;

  void take(const Action &it) {
    ++Effects;
    RC_ASSERT(it.Token >= HighestToken);
    HighestToken = it.Token;
    if (const auto own = LastBeforeOther.find(it.Node); own != LastBeforeOther.end())
      RC_ASSERT(it.Effect - own->second >= LeaseOptions{}.Ttl);
    for (const auto &[node, at] : LastEffect)
      if (node != it.Node)
        LastBeforeOther[node] = at;
    LastEffect[it.Node] = it.Effect;
  }
};

/// Copies of the store that the model keeps, one for each step.
constexpr int MaxCopies = 100;

/// Comes back as it was `age` steps ago, or at the first step. Leases go on from there.
void restore(FakeStore &s, std::deque<FakeStore> &copies, std::size_t age, Duration step) {
  age = std::min(age, copies.size() - 1);
  const std::uint64_t era = s.Era + 1;
  s = copies[copies.size() - 1 - age];
  s.Era = era;
  for (auto &[id, until] : s.Leases)
    until += step * static_cast<std::int64_t>(age);
  copies.clear();
}

// Guards against an action that takes effect after one of a later holder, and against a node that
// acts within a lease time of its last action although another one has acted between: with nodes
// that stop, are killed, paused or cut off from the store, and with lost answers. An action may
// take effect until its bound and ActionOverrun are over.
BOOST_AUTO_TEST_CASE(ActionsOfHoldersAreInOrder) {
  BOOST_TEST(rc::check([] {
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto draw = [&](int n) { return std::uniform_int_distribution(0, n - 1)(rng); };
    FakeStore s;
    s.Era = 1;
    std::deque<FakeStore> copies;
    // Claims that the store executes after their answer was given up.
    std::vector<std::pair<TimePoint, Claim>> late;
    FakePlatform platform;
    std::vector<Node> nodes(3);
    Now now{TimePoint(1000s), WallTime(0s)};
    const auto restart = [&](std::size_t i) {
      nodes[i].L = {};
      nodes[i].L.Options.Node = "n" + std::to_string(i);
      nodes[i].L.Options.Value =
          nodes[i].L.Options.Node + "/" + std::to_string(now.Steady.time_since_epoch().count());
      nodes[i].L.QuietSince = now.Steady;
      std::erase_if(platform.Actions, [&](const auto &it) { return it.Node == i; });
    };
    for (std::size_t i = 0; i < nodes.size(); ++i)
      restart(i);
    for (int step = 0; step < 1500; ++step) {
      now.Steady += 50ms;
      s.expire(now.Steady);
      copies.push_back(s);
      if (copies.size() > MaxCopies)
        copies.pop_front();
      if (draw(300) == 0)
        restore(s, copies, static_cast<std::size_t>(draw(MaxCopies)), 50ms);
      std::erase_if(late, [&](const auto &it) {
        return it.first <= now.Steady && (execute(s, it.second), true);
      });
      std::erase_if(platform.Actions, [&](const auto &it) {
        if (it.Effect > now.Steady)
          return false;
        platform.take(it);
        onActionEnded(nodes[it.Node].L, draw(5) > 0, now);
        return true;
      });
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node &n = nodes[i];
        n.Paused = n.Paused ? draw(60) > 0 : draw(300) == 0;
        n.IsCutOff = n.IsCutOff ? draw(60) > 0 : draw(200) == 0;
        if (draw(200) == 0 || (n.L.Resigning && n.L.LeaseId == 0 && n.L.OpenActions == 0))
          restart(i);
        if (n.Paused)
          continue;
        n.L.Resigning = n.L.Resigning || draw(100) == 0;
        if (!n.IsCutOff && draw(3) == 0) {
          read(s, n, now);
          onHolderRead(n.L, n.seenKey(), now);
        }
        if (const auto timeout = actionTimeout(n.L, now)) {
          const Duration most = *timeout + ActionOverrun;
          const Duration taken = Duration(draw(static_cast<int>(most.count())));
          platform.Actions.push_back({i, n.L.FencingToken, now.Steady + taken});
          onActionStarted(n.L);
        }
        // Answers arrive within one step: a free duty is claimed in two calls.
        for (int k = 0; k < 2; ++k) {
          const auto call = nextCall(n.L, n.seenKey(), mayClaim(n.L, n.Last, now), now);
          if (!call)
            break;
          const bool isLate = call->Type == LeaseCall::Kind::Claim && draw(3) == 0;
          if (isLate)
            late.emplace_back(now.Steady + 50ms * draw(40), claimOf(n, call->LeaseId));
          if (isLate || n.IsCutOff || draw(10) == 0)
            onCallFailed(n.L, now);
          else
            serve(s, n, *call, now, draw(10) == 0);
        }
      }
    }
    RC_ASSERT(platform.Effects > 100U);
  }));
}

// Guards against a holder that other nodes cannot reach because its value is parsed wrongly.
BOOST_AUTO_TEST_CASE(HolderValueRoundTrips) {
  const auto it = parseHolder(formatHolder({"n-1", 7, "10.0.0.1:9"}));
  BOOST_REQUIRE(it.has_value());
  BOOST_TEST(it->Node == "n-1");
  BOOST_TEST(it->Incarnation == 7U);
  BOOST_TEST(it->PeerAddress == "10.0.0.1:9");
  BOOST_TEST(!parseHolder("junk").has_value());
  const LastHolder last = parseLastHolder(formatLastHolder({"n-1", 7}));
  BOOST_TEST(last.Node == "n-1");
  BOOST_TEST(last.Era == 7U);
  BOOST_TEST(parseLastHolder("").Node.empty());
  BOOST_TEST(parseLastHolder("n x").Era == 0U);
}

// Guards against usage windows that jump with the VM's clock, and against a clock that never
// accepts a correction.
BOOST_AUTO_TEST_CASE(ClockJumpsAreAcceptedOnlyIfTheyLast) {
  JumpTolerantClock clock;
  const auto at = [](std::chrono::seconds steady, std::chrono::milliseconds wall) {
    return Now{TimePoint(steady), WallTime(wall)};
  };
  BOOST_TEST((filteredTime(clock, at(10s, 1000s)) == WallTime(1000s)));
  BOOST_TEST((filteredTime(clock, at(11s, 1003400ms)) == WallTime(1001s)));
  BOOST_TEST((filteredTime(clock, at(16s, 1006100ms)) == WallTime(1006100ms)));
  BOOST_TEST((filteredTime(clock, at(20s, 1000s)) == WallTime(1010100ms)));
  BOOST_TEST((filteredTime(clock, at(60s, 1040s)) == WallTime(1040s)));
}

BOOST_AUTO_TEST_SUITE_END()
