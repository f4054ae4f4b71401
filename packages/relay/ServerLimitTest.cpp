// Servers that limit the requests of all nodes together.
#include "relay/RelayFixture.h"
#include "relay/detail/BackendCalls.h"

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

namespace {

struct LimitFixture : Fixture {
  using Fixture::Fixture;

  void headWithLimit(CallId id, StatedLimit limit, int status = 200, bool notRun = false) {
    onBackendHead(S, id, {.Status = status, .IsGenuine = true, .NotRun = notRun, .Limit = limit},
                  Out, Time, Rng);
  }
  /// Answers the last call with a limit of the server; returns the server.
  std::string limitServer(double perSecond) {
    const CallBackend it = call();
    headWithLimit(it.Call, {StatedLimit::Kind::Limited, perSecond});
    bytes(it.Call, "x");
    end(it.Call, BackendEnd::Complete);
    return it.Backend;
  }
  void grant(std::uint64_t seq, bool granted, std::chrono::milliseconds retryAfter = 500ms) {
    onSendGrant(S, {seq, granted, retryAfter}, Out, Time, Rng);
  }
  message::SendClaim claim() {
    const auto found = all<ClaimSend>();
    BOOST_REQUIRE(!found.empty());
    return found.back().Claim;
  }
  const Backend &server(const std::string &id) { return S.Servers.Servers.at(id); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayServerLimit)

// Guards against a server with a limit that gets requests which its limit home has not granted.
BOOST_AUTO_TEST_CASE(LimitedServerGetsOnlyGrantedRequests) {
  LimitFixture f(1);
  f.request("/safe/x");
  BOOST_TEST(f.limitServer(1.2) == "app0");
  f.Out.clear();
  f.request("/safe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  BOOST_TEST(f.claim().Backend == "app0");
  BOOST_TEST(f.claim().PerSecond == 1.2);
  const std::uint64_t seq = f.claim().Seq;
  f.Out.clear();
  f.grant(seq, true);
  f.answer(f.only<CallBackend>().Call, 200);
  BOOST_TEST(f.all<ForwardAnswer>().size() == 1U);
}

// Guards against callers who wait or are refused although another server has no limit.
BOOST_AUTO_TEST_CASE(DeniedRequestGoesToAServerWithoutLimit) {
  LimitFixture f(3);
  for (int i = 0; i < 2; ++i) {
    f.request("/safe/x");
    f.limitServer(1.2);
    while (!f.all<ClaimSend>().empty() && f.all<CallBackend>().size() < 2U) {
      const std::uint64_t seq = f.claim().Seq;
      f.Out.clear();
      f.grant(seq, true);
      f.limitServer(1.2);
    }
  }
  f.Out.clear();
  f.request("/safe/x");
  while (f.all<CallBackend>().empty()) {
    const std::uint64_t seq = f.claim().Seq;
    f.Out.clear();
    f.grant(seq, false);
  }
  BOOST_TEST(!isLimited(f.server(f.call().Backend)));
  BOOST_TEST(f.all<Refuse>().empty());
}

// Guards against a request that is refused although its server could take it soon.
BOOST_AUTO_TEST_CASE(RequestWaitsForTheLimitBeforeItIsRefused) {
  LimitFixture f(1);
  f.request("/safe/x");
  f.limitServer(5);
  f.Out.clear();
  f.request("/safe/x");
  f.grant(f.claim().Seq, false, 200ms);
  f.Out.clear();
  f.wait(100ms);
  BOOST_TEST(f.Out.empty());
  f.wait(200ms);
  const std::uint64_t seq = f.claim().Seq;
  f.Out.clear();
  f.grant(seq, true);
  f.answer(f.only<CallBackend>().Call, 200);
  BOOST_TEST(f.all<Refuse>().empty());
}

// Guards against a refusal after the wait that claims more or less than is known.
BOOST_AUTO_TEST_CASE(RequestThatWaitedInVainIsRefusedAsNotRun) {
  LimitFixture f(1);
  f.request("/unsafe/x");
  f.limitServer(0.2);
  f.Out.clear();
  f.request("/unsafe/x");
  f.grant(f.claim().Seq, false, 3000ms);
  for (int i = 0; i < 100 && f.all<Refuse>().empty(); ++i)
    f.wait(20ms);
  BOOST_TEST(f.only<Refuse>().Status == 503);
  BOOST_TEST(f.only<Refuse>().RetryAfter.count() > 0);
  BOOST_TEST(f.all<CallBackend>().empty());
}

// Guards against retries that go past the limit of a server.
BOOST_AUTO_TEST_CASE(RetryNeedsAGrantToo) {
  LimitFixture f(2);
  f.request("/safe/x");
  const std::string limited = f.limitServer(1.2);
  f.Out.clear();
  // The other server, or a claim for the limited one.
  f.request("/safe/x");
  if (f.all<CallBackend>().empty())
    f.grant(f.claim().Seq, false);
  const CallBackend first = f.call();
  BOOST_TEST(first.Backend != limited);
  f.Time.Steady += 700ms;
  f.Out.clear();
  f.end(first.Call, BackendEnd::Broken);
  BOOST_TEST(f.all<CallBackend>().empty());
  BOOST_TEST(f.claim().Backend == limited);
  f.grant(f.claim().Seq, true);
  BOOST_TEST(f.call().Backend == limited);
  f.answer(f.call().Call, 200);
  BOOST_TEST(f.all<ForwardAnswer>().size() == 1U);
}

// Guards against a stream that is continued past the limit of a server, or aborted although it
// could be continued.
BOOST_AUTO_TEST_CASE(ResumedStreamNeedsAGrantToo) {
  LimitFixture f(2);
  f.request("/resumed/x");
  const std::string limited = f.call().Backend;
  f.headWithLimit(f.call().Call, {StatedLimit::Kind::Limited, 1.2});
  f.bytes(f.call().Call, "id: 1\ndata: a\n\n");
  f.end(f.call().Call, BackendEnd::Complete);
  f.Out.clear();
  f.request("/resumed/x");
  if (f.all<CallBackend>().empty())
    f.grant(f.claim().Seq, false);
  const CallBackend first = f.call();
  f.headWithLimit(first.Call, {StatedLimit::Kind::Unlimited});
  f.bytes(first.Call, "id: 1\ndata: a\n\n");
  f.Time.Steady += 600ms;
  f.Out.clear();
  f.end(first.Call, BackendEnd::Broken);
  BOOST_TEST(f.all<CallBackend>().empty());
  f.grant(f.claim().Seq, false, 100ms);
  BOOST_TEST(f.all<AbortStream>().empty());
  f.wait(200ms);
  f.grant(f.claim().Seq, true);
  const CallBackend second = f.only<CallBackend>();
  BOOST_TEST(second.Backend == limited);
  BOOST_TEST(second.ResumeAfter == "1");
}

// Guards against a stream that is aborted although its server was only silent for a moment: its
// call was given up for a claim at a server with a limit, which may be denied.
BOOST_AUTO_TEST_CASE(SilentServerIsNotLeftForAClaim) {
  LimitFixture f(2);
  f.request("/resumed/x");
  f.headWithLimit(f.call().Call, {StatedLimit::Kind::Limited, 1.2});
  f.bytes(f.call().Call, "id: 1\ndata: a\n\n");
  f.end(f.call().Call, BackendEnd::Complete);
  f.Out.clear();
  f.request("/resumed/x");
  if (f.all<CallBackend>().empty())
    f.grant(f.claim().Seq, false);
  f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
  const CallBackend silent = f.call();
  f.headWithLimit(silent.Call, {StatedLimit::Kind::Unlimited});
  f.bytes(silent.Call, "id: 1\ndata: a\n\n");
  f.Out.clear();
  f.wait(detail::stallTimeout(f.S.Config->Routes[3]) + 1ms);
  BOOST_TEST(f.all<CancelBackend>().empty());
  BOOST_TEST(f.all<ClaimSend>().empty());
  f.bytes(silent.Call, "id: 2\ndata: b\n\n");
  f.end(silent.Call, BackendEnd::Complete);
  BOOST_TEST(f.all<EndStream>().size() == 1U);
}

// Guards against a limit that outlives the server's statement, and one that ends with an answer
// that is older than the statement.
BOOST_AUTO_TEST_CASE(LimitEndsWithALaterAnswerWithoutIt) {
  LimitFixture f(1);
  f.request("/safe/a");
  f.request("/safe/b");
  const auto calls = f.all<CallBackend>();
  BOOST_REQUIRE(calls.size() == 2U);
  f.Time.Steady += 10ms;
  f.headWithLimit(calls[0].Call, {StatedLimit::Kind::Limited, 2});
  f.headWithLimit(calls[1].Call, {StatedLimit::Kind::Unlimited});
  BOOST_TEST(isLimited(f.server("app0")));
  f.Time.Steady += 10ms;
  f.request("/safe/c");
  f.grant(f.claim().Seq, true);
  f.headWithLimit(f.call().Call, {StatedLimit::Kind::Unknown});
  BOOST_TEST(isLimited(f.server("app0")));
  f.headWithLimit(f.call().Call, {StatedLimit::Kind::Unlimited});
  BOOST_TEST(!isLimited(f.server("app0")));
}

// Guards against a limit that is passed on to another server at the same address or another start.
BOOST_AUTO_TEST_CASE(LimitEndsWithTheStartOfTheServer) {
  LimitFixture f(1);
  f.request("/safe/x");
  f.limitServer(1.2);
  BackendEntry entry = f.server("app0").Entry;
  entry.Born = 7;
  onBackendList(f.S, std::vector{entry}, false, f.Out, f.Time);
  BOOST_TEST(!isLimited(f.server("app0")));
  onBackendLimits(f.S, {{{"app0", 0, true, 1.2, 0ms}}}, f.Out, f.Time);
  BOOST_TEST(!isLimited(f.server("app0")));
  onBackendLimits(f.S, {{{"app0", 7, true, 1.2, 0ms}}}, f.Out, f.Time);
  BOOST_TEST(isLimited(f.server("app0")));
}

// Guards against nodes that learn of a limit, or of its end, only from their own answers, and
// against an old statement that replaces a new one.
BOOST_AUTO_TEST_CASE(PeersLearnWhenALimitBeginsAndEnds) {
  LimitFixture a(1);
  LimitFixture b(1);
  const auto limitsIn = [](const LimitFixture &f) {
    message::BackendLimits out;
    for (const Gossip &it : f.all<Gossip>())
      if (const auto *limits = std::get_if<message::BackendLimits>(&it.Message))
        out = *limits;
    return out;
  };
  a.request("/safe/x");
  a.limitServer(1.2);
  const message::BackendLimits begun = limitsIn(a);
  BOOST_REQUIRE(begun.Limits.size() == 1U);
  onBackendLimits(b.S, begun, b.Out, b.Time);
  BOOST_TEST(isLimited(b.server("app0")));
  BOOST_TEST(limitsIn(b).Limits.size() == 1U);
  a.Out.clear();
  a.Time.Steady += 1s;
  b.Time.Steady += 1s;
  a.request("/safe/x");
  a.grant(a.claim().Seq, true);
  a.headWithLimit(a.call().Call, {StatedLimit::Kind::Unlimited});
  onBackendLimits(b.S, limitsIn(a), b.Out, b.Time);
  BOOST_TEST(!isLimited(b.server("app0")));
  onBackendLimits(b.S, {{{"app0", 0, true, 1.2, 1000ms}}}, b.Out, b.Time);
  BOOST_TEST(!isLimited(b.server("app0")));
  // A server or start that this node does not know.
  onBackendLimits(b.S, {{{"other", 0, true, 1.2, 0ms}}}, b.Out, b.Time);
}

// Guards against requests that wait for ever because the limit home died with their claim.
BOOST_AUTO_TEST_CASE(LostClaimIsRepeated) {
  LimitFixture f(1);
  f.request("/safe/x");
  f.limitServer(1.2);
  f.Out.clear();
  f.request("/safe/x");
  const std::uint64_t lost = f.claim().Seq;
  f.Out.clear();
  onSendClaimLost(f.S, lost, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.claim().Seq != lost);
  const std::uint64_t second = f.claim().Seq;
  f.Out.clear();
  // The late answer to the lost claim changes nothing.
  f.grant(lost, true);
  BOOST_TEST(f.Out.empty());
  f.grant(second, true);
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
}

// Guards against a server that is out of the choice for good because a caller left during a claim.
BOOST_AUTO_TEST_CASE(CallerThatLeavesDuringAClaimLeavesTheServerUsable) {
  LimitFixture f(1);
  f.request("/safe/x");
  f.limitServer(1.2);
  const RequestId gone = f.request("/safe/x");
  onCallerGone(f.S, gone, f.Out, f.Time);
  f.grant(f.claim().Seq, true);
  f.Out.clear();
  f.request("/safe/x");
  BOOST_TEST(f.claim().Backend == "app0");
}

BOOST_AUTO_TEST_SUITE_END()
