// Which versions requests use while a rollout is under way.
#include "relay/RolloutFixture.h"

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

namespace {

using Counts = std::map<std::string, int>;

constexpr const char *Event = "id: 1\ndata: x\n\n";

/// Begins a resumable stream at the version that is allowed.
CallBackend beginStream(RolloutFixture &f, const char *version) {
  const bool target = std::string(version) == "v2";
  const CallBackend call = target ? f.sendToTarget("/resumed/x") : f.sendToOld("/resumed/x");
  f.head(call.Call, 200);
  f.bytes(call.Call, Event);
  f.Out.clear();
  return call;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRollouts)

// Guards against choices that change where the part is off or there is no order.
BOOST_AUTO_TEST_CASE(WithoutAnOrderVersionsAreNotLookedAt) {
  RolloutFixture off(false);
  BOOST_TEST(!off.hear(off.grant()));
  Counts got = off.play(40);
  BOOST_TEST(got["v1"] > 0);
  BOOST_TEST(got["v2"] > 0);
  BOOST_TEST(off.S.Rollouts.empty());
  BOOST_TEST(off.S.UsualTimes.empty());
  RolloutFixture on;
  got = on.play(40);
  BOOST_TEST(got["v1"] > 0);
  BOOST_TEST(got["v2"] > 0);
  BOOST_TEST(buildRolloutReports(on.S, "n", on.Time).empty());
}

// Guards against requests to the target that no grant covers, and against units that are used twice
// or too late.
BOOST_AUTO_TEST_CASE(TargetGetsWhatGrantsAllow) {
  RolloutFixture f;
  BOOST_TEST(f.hear(f.grant()));
  BOOST_TEST(!f.hear(f.grant()));
  BOOST_TEST((f.play(30) == Counts{{"v1", 30}}));
  f.allow(3);
  BOOST_TEST((f.play(10) == Counts{{"v1", 7}, {"v2", 3}}));
  f.allow(3);
  f.report();
  BOOST_TEST((f.play(10) == Counts{{"v1", 10}}));
  f.allow(3);
  f.Time.Steady += 1001ms;
  BOOST_TEST((f.play(10) == Counts{{"v1", 10}}));
  const message::RolloutReport report = f.report();
  BOOST_TEST(report.Sent == 3U);
  BOOST_TEST(report.Seen == 60U);
}

// Guards against a unit that is lost, and a request that waits, because no server of the target is
// listed yet.
BOOST_AUTO_TEST_CASE(RequestThatTheTargetCannotTakeGoesToAnOldServer) {
  RolloutFixture f;
  f.hear(f.grant());
  f.list({{"v1", 2}});
  f.allow(2);
  BOOST_TEST((f.play(5) == Counts{{"v1", 5}}));
  f.list({{"v1", 2}, {"v2", 1}});
  BOOST_TEST((f.play(5) == Counts{{"v1", 3}, {"v2", 2}}));
  BOOST_TEST(f.report().Sent == 2U);
}

// Guards against few requests that are spread over all servers of the target, and against nodes
// that use different ones.
BOOST_AUTO_TEST_CASE(GrantNamesTheFirstServersInRank) {
  std::map<std::string, int> used;
  for (unsigned node = 0; node < 4; ++node) {
    RolloutFixture f;
    f.Rng.seed(node);
    f.list({{"v1", 2}, {"v2", 6}});
    f.hear(f.grant());
    message::RolloutGrant grant = f.grant();
    grant.Servers = 2;
    f.allow(20, grant);
    for (int i = 0; i < 20; ++i) {
      f.Out.clear();
      f.request("/safe/x");
      ++used[f.call().Backend];
      f.answer(f.call().Call, 200);
    }
  }
  BOOST_TEST(used.size() == 2U);
}

// Guards against a target that gets requests after its order was reverted, and against one that
// stays excluded when it is ordered again.
BOOST_AUTO_TEST_CASE(RevertedTargetGetsNothingUntilOrderedAgain) {
  RolloutFixture f;
  f.hear(f.grant());
  f.allow(5);
  f.end(2);
  f.allow(5);
  BOOST_TEST((f.play(20) == Counts{{"v1", 20}}));
  BOOST_TEST(buildRolloutReports(f.S, "n", f.Time).empty());
  f.list({{"v2", 2}});
  f.Out.clear();
  f.request("/safe/x");
  BOOST_TEST((f.only<Refuse>().Code == ResultCode::NoBackend));
  f.list({{"v1", 2}, {"v2", 2}});
  f.hear(f.grant("v2", 6));
  f.allow(5, f.grant("v2", 6));
  BOOST_TEST((f.play(20) == Counts{{"v1", 15}, {"v2", 5}}));
}

// Guards against requests to old servers, which stop at once when an order is completed, and
// against versions that are looked at for ever after a rollout.
BOOST_AUTO_TEST_CASE(CompletedOrderEndsTheDivision) {
  RolloutFixture f;
  f.hear(f.grant());
  f.end(1);
  BOOST_TEST((f.play(20) == Counts{{"v2", 20}}));
  BOOST_TEST(buildRolloutReports(f.S, "n", f.Time).empty());
  f.list({{"v2", 2}});
  f.list({{"v1", 2}, {"v2", 2}});
  Counts got = f.play(40);
  BOOST_TEST(got["v1"] > 0);
  BOOST_TEST(got["v2"] > 0);
  // Old servers that stay listed nevertheless, and a node that hears of the order when it is over.
  RolloutFixture g;
  g.hear(g.grant());
  g.end(1);
  g.Time.Steady += 10s;
  BOOST_TEST(g.play(40)["v1"] > 0);
  RolloutFixture late;
  late.end(1);
  BOOST_TEST(late.play(40)["v1"] > 0);
}

// Guards against a version whose trial was cut short by another order and that gets all requests.
BOOST_AUTO_TEST_CASE(TargetOfAReplacedOrderStaysExcluded) {
  RolloutFixture f;
  f.list({{"v1", 2}, {"v2", 2}, {"v3", 2}});
  f.hear(f.grant());
  f.hear(f.grant("v3", 6));
  BOOST_TEST((f.play(20) == Counts{{"v1", 20}}));
  f.allow(5, f.grant("v3", 6));
  BOOST_TEST((f.play(20) == Counts{{"v1", 15}, {"v3", 5}}));
  f.end(1, "v3", 6);
  BOOST_TEST(f.play(20)["v2"] == 0);
  // Its servers have gone: a plain release may bring the version back.
  f.list({{"v3", 2}});
  f.list({{"v3", 2}, {"v2", 2}});
  BOOST_TEST(f.play(20)["v2"] > 0);
}

// Guards against an outage: this node missed that the order before was completed.
BOOST_AUTO_TEST_CASE(VersionInForceIsNotExcludedByTheNextOrder) {
  RolloutFixture f;
  f.hear(f.grant());
  f.list({{"v2", 2}, {"v3", 2}});
  f.hear(f.grant("v3", 6));
  BOOST_TEST((f.play(10) == Counts{{"v2", 10}}));
}

// Guards against a service without a server because its version is ordered once more.
BOOST_AUTO_TEST_CASE(OrderForTheVersionInForceIsIgnored) {
  RolloutFixture f;
  f.list({{"v2", 2}});
  f.hear(f.grant());
  BOOST_TEST((f.play(10) == Counts{{"v2", 10}}));
  BOOST_TEST(f.report().Sent == 10U);
  // The holder sees old servers.
  f.list({{"v1", 2}, {"v2", 2}});
  f.allow(0);
  BOOST_TEST((f.play(10) == Counts{{"v1", 10}}));
}

// Guards against a request that is sent to the target because the old servers have gone.
BOOST_AUTO_TEST_CASE(WithoutOldServersRequestsAreRefused) {
  RolloutFixture f;
  f.hear(f.grant());
  f.list({{"v2", 2}});
  BOOST_TEST((f.play(5) == Counts{{"none", 5}}));
  f.allow(1);
  BOOST_TEST((f.play(5) == Counts{{"none", 4}, {"v2", 1}}));
}

// Guards against messages of an earlier order or holder, and a new order that is missed because the
// holder has not read it yet.
BOOST_AUTO_TEST_CASE(NewerOrdersPrevail) {
  RolloutFixture f;
  f.Token = 7;
  f.hear(f.grant());
  message::RolloutGrant read = f.grant("v3", 6);
  read.Token = 0;
  BOOST_TEST(f.hear(read));
  BOOST_TEST(!f.hear(read));
  BOOST_TEST(!f.hear(f.grant()));
  BOOST_TEST(f.S.Rollouts.at("app").Share.Grant.Target == "v3");
  f.Token = 6;
  BOOST_TEST(!f.hear(f.grant("v2", 8)));
  // The store is back from an older copy: tokens and revisions start again.
  f.Time.Steady += 6s;
  BOOST_TEST(f.hear(f.grant("v2", 3)));
  f.allow(1, f.grant("v2", 3));
  BOOST_TEST((f.play(5) == Counts{{"v1", 4}, {"v2", 1}}));
}

// Guards against a second chance for a bad target at the cost of the caller.
BOOST_AUTO_TEST_CASE(RetryAfterABadResponseGoesToAnOldServer) {
  for (int i = 0; i < 10; ++i) {
    RolloutFixture f;
    f.Rng.seed(unsigned(i));
    f.hear(f.grant());
    CallBackend first = f.sendToTarget();
    f.allow(10);
    f.answer(first.Call, 500);
    BOOST_TEST(f.versionOf(f.call()) == "v1");
    first = f.sendToTarget("/unsafe/x");
    f.answer(first.Call, 500);
    BOOST_TEST(f.call().Call == first.Call);
  }
}

// Guards against a request that changes its version although the server did not run it, and against
// a send that the holder does not know of.
BOOST_AUTO_TEST_CASE(OtherRetriesStayInTheirVersionIfUnitsAreLeft) {
  RolloutFixture f;
  f.hear(f.grant());
  const CallBackend first = f.sendToTarget();
  f.allow(1);
  f.head(first.Call, 503, true, true);
  BOOST_TEST(f.versionOf(f.call()) == "v2");
  BOOST_TEST(f.call().Backend != first.Backend);
  BOOST_TEST(f.report().Sent == 2U);
  f.hear(f.grant());
  const CallBackend second = f.sendToTarget();
  f.head(second.Call, 503, true, true);
  BOOST_TEST(f.versionOf(f.call()) == "v1");
}

// Guards against a stream that another version continues differently.
BOOST_AUTO_TEST_CASE(ResumedStreamStaysInItsVersion) {
  for (int i = 0; i < 10; ++i) {
    RolloutFixture f;
    f.Rng.seed(unsigned(i));
    f.hear(f.grant());
    const CallBackend old = beginStream(f, "v1");
    f.allow(10);
    f.end(old.Call, BackendEnd::Broken);
    BOOST_TEST(f.versionOf(f.call()) == "v1");
    const CallBackend target = beginStream(f, "v2");
    // No unit is left; the stream waits for one.
    f.end(target.Call, BackendEnd::Broken);
    f.wait(20ms);
    BOOST_TEST(f.all<CallBackend>().empty());
    BOOST_TEST(f.all<AbortStream>().empty());
    f.allow(1);
    f.wait(20ms);
    BOOST_TEST(f.versionOf(f.call()) == "v2");
    BOOST_TEST(f.report("model").Sent == 2U);
  }
}

// Guards against a stream that is resumed at a reverted target, or at another version.
BOOST_AUTO_TEST_CASE(StreamOfARevertedTargetIsNotResumed) {
  RolloutFixture f;
  f.hear(f.grant());
  const CallBackend call = beginStream(f, "v2");
  f.end(2);
  f.end(call.Call, BackendEnd::Broken);
  BOOST_TEST(f.all<CallBackend>().empty());
  BOOST_TEST(f.all<AbortStream>().size() == 1U);
  // One that waits for a unit when the target is reverted.
  RolloutFixture g;
  g.hear(g.grant());
  const CallBackend waiting = beginStream(g, "v2");
  g.end(waiting.Call, BackendEnd::Broken);
  BOOST_TEST(g.all<AbortStream>().empty());
  g.end(2);
  g.S.ActiveRequests.at(g.NextId - 1).GiveUp += 10s;
  g.wait(20ms);
  g.wait(2100ms);
  BOOST_TEST(g.all<CallBackend>().empty());
  BOOST_TEST(g.all<AbortStream>().size() == 1U);
}

// Guards against a request that keeps to a decision of an earlier order while it waits.
BOOST_AUTO_TEST_CASE(WaitingRequestIsLookedAtAgain) {
  RolloutFixture f;
  f.hear(f.grant());
  const auto pauseAll = [&](const char *version) {
    for (const BackendEntry &it : f.Listed)
      if (it.Version == version)
        pauseServer(f.S.Servers, it.Id, 300ms, f.Time);
  };
  pauseAll("v1");
  f.request("/safe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  f.wait(20ms);
  BOOST_TEST(f.all<CallBackend>().empty());
  f.allowAll(true);
  f.wait(20ms);
  BOOST_TEST(f.versionOf(f.only<CallBackend>()) == "v2");
  BOOST_TEST(f.report().Sent == 1U);
  // Decided for the target, which is reverted before it can be sent.
  f.Out.clear();
  f.allowAll(true);
  pauseAll("v2");
  f.Time.Steady += 100ms;
  f.request("/safe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  f.end(2);
  f.wait(300ms);
  BOOST_TEST(f.versionOf(f.only<CallBackend>()) == "v1");
}

// Guards against a claim for a server of the target that is granted after the target was reverted.
BOOST_AUTO_TEST_CASE(GrantedClaimIsNotUsedAtARevertedTarget) {
  RolloutFixture f;
  f.hear(f.grant());
  for (const BackendEntry &it : f.Listed)
    if (it.Version == "v2")
      find(f.S.Servers, it.Id)->Limit = RequestLimit{5.0, f.Time.Steady, NoticeSource::Answer};
  f.allow(2);
  f.request("/safe/x");
  f.request("/safe/x");
  const auto claims = f.all<ClaimSend>();
  BOOST_REQUIRE_EQUAL(claims.size(), 2U);
  onSendGrant(f.S, {.Seq = claims[0].Claim.Seq, .Granted = true}, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.versionOf(f.only<CallBackend>()) == "v2");
  f.end(2);
  onSendGrant(f.S, {.Seq = claims[1].Claim.Seq, .Granted = true}, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.versionOf(f.call()) == "v1");
}

// Guards against prefixes that requests of one version fetch from the other, and against readers of
// the target that displace the holders that old requests rely on.
BOOST_AUTO_TEST_CASE(PrefixesAreNotSharedBetweenVersions) {
  RolloutFixture f;
  const std::vector<PromptPart> prompt{{1, 3000}, {2, 100}};
  f.hear(f.grant());
  PrefixCacheIndex &index = f.S.Servers.PrefixCache;
  recordHolder(index, 1, "modelv1a");
  recordHolder(index, 1, "modelv2a");
  recordHolder(index, 1, "modelv2b");
  BOOST_TEST((std::vector<std::string>(holdersOf(index, 1).begin(), holdersOf(index, 1).end()) ==
              std::vector<std::string>{"modelv1a"}));
  const auto choose = [&](bool target, const char *excluded) {
    const std::vector<std::string> tried{excluded};
    SelectionCriteria criteria;
    criteria.Service = "model";
    criteria.Prompt = prompt;
    criteria.Excluded = tried;
    criteria.Versions =
        VersionFilter{.Listed = target ? VersionFilter::Kind::Only : VersionFilter::Kind::AllBut,
                      .Version = "v2",
                      .IsTarget = target};
    return chooseServer(f.S.Servers, criteria, f.Time, f.Rng);
  };
  BOOST_TEST(choose(false, "").Server->Entry.Id == "modelv1a");
  const Choice old = choose(false, "modelv1a");
  BOOST_TEST(old.Server->Entry.Id == "modelv1b");
  BOOST_TEST(old.PrefixSource->Entry.Id == "modelv1a");
  BOOST_TEST(choose(true, "").Server->Entry.Version == "v2");
  removeServer(index, "modelv2b");
  BOOST_TEST(choose(true, "modelv2a").PrefixSource->Entry.Id == "modelv2a");
  // Nor with another old version when a stream is resumed.
  f.list({{"v0", 1}, {"v1", 1}, {"v2", 2}});
  removeServer(index, "modelv1a");
  recordHolder(index, 1, "modelv0a");
  SelectionCriteria criteria;
  criteria.Service = "model";
  criteria.Prompt = prompt;
  criteria.Versions = VersionFilter{.Listed = VersionFilter::Kind::Only, .Version = "v1"};
  const Choice resumed = chooseServer(f.S.Servers, criteria, f.Time, f.Rng);
  BOOST_TEST(resumed.Server->Entry.Id == "modelv1a");
  BOOST_TEST((resumed.PrefixSource == nullptr || resumed.PrefixSource == resumed.Server));
  // What the target's servers cache is not lost when they are the only ones.
  f.end(1);
  BOOST_REQUIRE_EQUAL(holdersOf(index, 1).size(), 1U);
  BOOST_TEST(holdersOf(index, 1)[0] == "modelv2a");
}

// Guards against old servers that stop while requests run on them.
BOOST_AUTO_TEST_CASE(ClosingLeavesNothingOnOldServers) {
  RolloutFixture f;
  f.hear(f.grant());
  const CallBackend open = f.sendToOld();
  const CallBackend target = f.sendToTarget();
  BOOST_TEST(f.report().OldOpen == 1U);
  f.allowAll(true);
  BOOST_TEST((f.play(20) == Counts{{"v2", 20}}));
  // Retries as well.
  f.answer(target.Call, 500);
  BOOST_TEST(f.versionOf(f.call()) == "v2");
  f.answer(f.call().Call, 200);
  BOOST_TEST(f.report().Closed);
  BOOST_TEST(f.report().OldOpen == 1U);
  f.answer(open.Call, 200);
  BOOST_TEST(f.report().OldOpen == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
