#include "relay/RelayFixture.h"
#include "relay/detail/BackendCalls.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <set>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RelayRequests)

// Guards against an answer that is modified, or forwarded before it is complete.
BOOST_AUTO_TEST_CASE(CompleteAnswerIsForwarded) {
  Fixture f;
  f.request("/safe/x");
  const CallBackend call = f.call();
  BOOST_TEST(call.Workspace == "w");
  f.head(call.Call, 200);
  f.bytes(call.Call, "par");
  f.bytes(call.Call, "ts");
  BOOST_TEST(f.all<ForwardAnswer>().empty());
  f.end(call.Call, BackendEnd::Complete);
  BOOST_TEST(f.only<ForwardAnswer>().Body == "parts");
  BOOST_TEST(f.S.ActiveRequests.empty());
}

// Guards against sending a request that is not idempotent to a second server after it may have run
// on the first.
BOOST_AUTO_TEST_CASE(NonIdempotentIsNotRetriedAfterSend) {
  for (const bool headSeen : {false, true}) {
    Fixture f;
    f.request("/unsafe/x");
    if (headSeen)
      f.head(f.call().Call, 200);
    f.end(f.call().Call, BackendEnd::Broken);
    BOOST_TEST(f.all<CallBackend>().size() == 1U);
    // 502 does not tell whether the request ran.
    BOOST_TEST(f.only<Refuse>().Status == 502);
  }
}

// Guards against failing a request although the server declared that it did not run it.
BOOST_AUTO_TEST_CASE(RejectedRequestGoesToAnotherServer) {
  Fixture f;
  f.request("/unsafe/x");
  const CallBackend first = f.call();
  f.head(first.Call, 503, true, true);
  const CallBackend second = f.call();
  BOOST_TEST(first.Backend != second.Backend);
  f.answer(second.Call, 200);
  BOOST_TEST(f.all<ForwardAnswer>().size() == 1U);
}

// Guards against a deadline that overflows when it is added to the time of arrival, so that the
// request is given up at once.
BOOST_AUTO_TEST_CASE(LongestDeadlineIsServed) {
  Fixture f;
  RequestInfo info{.Host = "h:80", .Path = "/safe/x", .Key = "key"};
  info.Deadline = std::chrono::milliseconds::max();
  onRequest(f.S, 1, info, f.Time.Steady, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.call().Remaining.count() == MaxDeadline.count());
  f.wait(2900ms);
  BOOST_TEST(f.all<Refuse>().empty());
  f.answer(f.call().Call, 200);
  BOOST_TEST(f.all<ForwardAnswer>().size() == 1U);
}

// Guards against new work for a server that says in an answer that it is leaving, while the list
// does not show it, and against peers that do not learn of it.
BOOST_AUTO_TEST_CASE(ServerThatSaysItLeavesGetsNothingNew) {
  Fixture f(2);
  f.request("/safe/x");
  const CallBackend first = f.call();
  onBackendHead(f.S, first.Call, {.Status = 200, .IsGenuine = true, .Leaving = true}, f.Out, f.Time,
                f.Rng);
  f.bytes(first.Call, "x");
  f.end(first.Call, BackendEnd::Complete);
  BOOST_TEST(f.all<ForwardAnswer>().size() == 1U);
  BOOST_TEST(f.all<Gossip>().size() == 1U);
  std::vector<BackendEntry> list;
  for (const auto &[id, it] : f.S.Servers.Servers)
    list.push_back(it.Entry);
  onBackendList(f.S, list, false, f.Out, f.Time);
  for (int i = 0; i < 10; ++i) {
    f.request("/safe/x");
    BOOST_TEST(f.call().Backend != first.Backend);
  }
  // Another start of the server is not concerned.
  for (BackendEntry &it : list)
    ++it.Born;
  onBackendList(f.S, list, false, f.Out, f.Time);
  BOOST_TEST(!f.S.Servers.Servers.at(first.Backend).Leaving);
}

// Guards against requests that are sent to a server within the time for which it wants none, and
// against waiting for it in vain.
BOOST_AUTO_TEST_CASE(PausedServerGetsNothing) {
  Fixture f(2);
  const auto pause = [&](CallId call, std::chrono::milliseconds time) {
    onBackendHead(f.S, call, {.Status = 503, .IsGenuine = true, .NotRun = true, .NothingFor = time},
                  f.Out, f.Time, f.Rng);
  };
  f.request("/safe/x");
  const CallBackend first = f.call();
  pause(first.Call, 4000ms);
  const CallBackend second = f.call();
  BOOST_TEST(second.Backend != first.Backend);
  f.answer(second.Call, 200);
  for (int i = 0; i < 10; ++i) {
    f.wait(300ms);
    f.request("/safe/x");
    BOOST_TEST(f.call().Backend == second.Backend);
    f.answer(f.call().Call, 200);
  }
  // A shorter time does not replace a longer one.
  f.request("/safe/x");
  f.Out.clear();
  pause(second.Call + 11, 600ms);
  BOOST_TEST(f.all<Refuse>().size() == 1U);
  f.Out.clear();
  f.request("/safe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  BOOST_TEST(f.only<Refuse>().Status == 503);
  BOOST_TEST((f.only<Refuse>().RetryAfter >= 600ms));
  f.wait(700ms);
  f.request("/safe/x");
  BOOST_TEST(f.call().Backend == second.Backend);
  f.answer(f.call().Call, 200);
  f.wait(400ms);
  f.Out.clear();
  for (int i = 0; i < 10; ++i)
    f.request("/safe/x");
  std::set<std::string> used;
  for (const CallBackend &it : f.all<CallBackend>())
    used.insert(it.Backend);
  BOOST_TEST(used.size() == 2U);
}

// Guards against telling the caller that a request did not run when it may have.
BOOST_AUTO_TEST_CASE(NotRunIsClaimedOnlyWhenTrue) {
  Fixture f(1);
  f.request("/unsafe/x");
  f.head(f.call().Call, 503, true, true);
  BOOST_TEST(f.only<Refuse>().Status == 503);

  Fixture g(1);
  g.request("/unsafe/x");
  // A 503 must not be forwarded unless the server declared that it did not run the request.
  g.answer(g.call().Call, 503);
  BOOST_TEST(g.only<Refuse>().Status == 502);
}

// Guards against forwarding an answer without the server stamp as an answer of the server.
BOOST_AUTO_TEST_CASE(AnswerWithoutServerStampIsNotForwarded) {
  Fixture f(1);
  f.request("/unsafe/x");
  f.head(f.call().Call, 200, false);
  f.bytes(f.call().Call, "foreign");
  f.end(f.call().Call, BackendEnd::Complete);
  BOOST_TEST(f.all<ForwardAnswer>().empty());
  BOOST_TEST(f.only<Refuse>().Status == 502);
}

// Guards against reporting the failure of one server to the caller of an idempotent request, and
// against trying more servers than the route allows.
BOOST_AUTO_TEST_CASE(IdempotentIsRetriedUpToMaxAttempts) {
  Fixture f(4);
  f.request("/safe/x");
  f.answer(f.call().Call, 500);
  f.answer(f.call().Call, 500);
  BOOST_TEST(f.all<CallBackend>().size() == 2U);
  BOOST_TEST(f.all<ForwardAnswer>().size() == 1U);
}

// Guards against repeated or lost events when another server continues a stream.
BOOST_AUTO_TEST_CASE(ResumedStreamIsComplete) {
  Fixture f;
  f.request("/resumed/x");
  const CallBackend first = f.call();
  f.head(first.Call, 200);
  f.bytes(first.Call, "id: 1\ndata: a\n\nid: 2\nda");
  f.end(first.Call, BackendEnd::Broken);
  const CallBackend second = f.call();
  BOOST_TEST(second.ResumeAfter == "1");
  f.head(second.Call, 200);
  f.bytes(second.Call, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  f.end(second.Call, BackendEnd::Complete);
  std::string all;
  for (const StreamBytes &it : f.all<StreamBytes>())
    all += it.Bytes;
  BOOST_TEST(all == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(f.all<BeginStream>().size() == 1U);
  BOOST_TEST(f.all<EndStream>().size() == 1U);
}

// Guards against resuming a stream that may run only once, and against ending it as if it were
// complete.
BOOST_AUTO_TEST_CASE(BrokenStreamIsAborted) {
  Fixture f;
  f.request("/once/x");
  f.head(f.call().Call, 200);
  f.bytes(f.call().Call, "id: 1\ndata: a\n\n");
  f.end(f.call().Call, BackendEnd::Broken);
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
  BOOST_TEST(f.all<AbortStream>().size() == 1U);
  BOOST_TEST(f.all<EndStream>().empty());
}

// Guards against servers that continue to work for a caller that has disconnected.
BOOST_AUTO_TEST_CASE(CallerDisconnectCancelsTheCall) {
  Fixture f;
  const RequestId id = f.request("/once/x");
  onCallerGone(f.S, id, f.Out, f.Time);
  BOOST_TEST(f.only<CancelBackend>().Call == f.call().Call);
  BOOST_TEST(f.S.ActiveRequests.empty());
  BOOST_TEST(f.S.Calls.empty());
}

// Guards against a request that is not answered at its timeout.
BOOST_AUTO_TEST_CASE(TimeoutIsAnswered) {
  Fixture f;
  f.request("/unsafe/x");
  f.wait(1900ms);
  BOOST_TEST(f.all<Refuse>().empty());
  f.wait(150ms);
  BOOST_TEST(f.only<Refuse>().Status == 504);
  BOOST_TEST(f.all<CancelBackend>().size() == 1U);
}

// Guards against serving requests without a valid key or route, and against a 404 or 401 from a
// node that has no configuration yet.
BOOST_AUTO_TEST_CASE(UnknownRoutesAndKeysAreRefused) {
  Fixture f;
  f.request("/nowhere/x");
  f.request("/safe/x", "other");
  const auto refused = f.all<Refuse>();
  BOOST_REQUIRE(refused.size() == 2U);
  BOOST_TEST(refused[0].Status == 404);
  BOOST_TEST(refused[1].Status == 401);
  f.S.Config.reset();
  f.Out.clear();
  f.request("/nowhere/x");
  BOOST_TEST(f.only<Refuse>().Status == 503);
}

// Guards against accepting requests shortly before the process exits, which cuts off their answers.
// Seen with requests that arrived 3.6 s after SIGTERM and were cut off 7.5 s after it.
BOOST_AUTO_TEST_CASE(StoppingNodeRefusesRequests) {
  Fixture f;
  f.request("/once/x");
  f.S.RefusesRequests = true;
  f.request("/once/x");
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
  BOOST_TEST(f.only<Refuse>().Status == 503);
}

// Guards against requests that are cut off without an answer when the time to stop is over: callers
// cannot tell whether they ran.
BOOST_AUTO_TEST_CASE(StoppingNodeEndsEachRequestWithAnAnswer) {
  Fixture f;
  f.request("/once/x");
  endRequests(f.S, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.only<Refuse>().Status == 502);
  BOOST_TEST(f.S.ActiveRequests.empty());
  f.Out.clear();
  Fixture withoutServers(0);
  withoutServers.request("/once/x");
  endRequests(withoutServers.S, withoutServers.Out, withoutServers.Time, withoutServers.Rng);
  const Refuse refused = withoutServers.only<Refuse>();
  BOOST_TEST(refused.Status == 503);
  BOOST_TEST((refused.RetryAfter > 0ms));
}

// Guards against going back to an older configuration.
BOOST_AUTO_TEST_CASE(OlderConfigurationIsIgnored) {
  Fixture f;
  BOOST_TEST(configure(f.S, std::make_shared<const Configuration>(configuration(5))));
  BOOST_TEST(!configure(f.S, std::make_shared<const Configuration>(configuration(4))));
  BOOST_TEST(f.S.Config->Version == 5U);
}

// Guards against sending new requests to a server that a peer reported as leaving.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNothingNew) {
  Fixture f(2);
  onBackendDeparture(f.S, {"app0", 0, message::DepartureKind::Announced, "peer", 0ms, 0, 0}, f.Out,
                     f.Time);
  BOOST_TEST(f.all<Gossip>().size() == 1U);
  for (int i = 0; i < 20; ++i)
    f.request("/safe/x");
  for (const CallBackend &it : f.all<CallBackend>())
    BOOST_TEST(it.Backend == "app1");
}

// Guards against a request that crashes one server after another.
BOOST_AUTO_TEST_CASE(CrashingContentIsRefusedAfterThreeCrashes) {
  Fixture f(8);
  for (int i = 0; i < 3; ++i) {
    f.request("/unsafe/x");
    f.end(f.call().Call, BackendEnd::Broken);
  }
  f.Out.clear();
  f.request("/unsafe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  BOOST_TEST(f.only<Refuse>().Status == 503);
  f.Out.clear();
  f.request("/unsafe/x", "key", 8);
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
}

// Guards against a content that is refused for the lifetime of the node, and against a suspicion
// that outlives an answer.
BOOST_AUTO_TEST_CASE(RefusedContentIsTriedAgainAndClearedByAnAnswer) {
  const auto crash = [](Fixture &f) {
    for (int i = 0; i < 3; ++i) {
      f.request("/unsafe/x");
      f.end(f.call().Call, BackendEnd::Broken);
    }
    f.Out.clear();
  };
  const auto sendUntilProbe = [](Fixture &f) {
    for (int i = 0; i < 100 && f.all<CallBackend>().empty(); ++i)
      f.request("/unsafe/x");
    CallBackend it = f.call();
    f.Out.clear();
    return it;
  };
  Fixture expired(8);
  crash(expired);
  expired.wait(retry::QuarantineTime + 1s);
  expired.request("/unsafe/x");
  BOOST_TEST(expired.all<CallBackend>().size() == 1U);

  Fixture f(8);
  crash(f);
  f.wait(retry::FirstContentProbeDelay - 1s);
  for (int i = 0; i < 100; ++i)
    f.request("/unsafe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  f.wait(1s);
  // A crash of the probe puts the next one off.
  f.end(sendUntilProbe(f).Call, BackendEnd::Broken);
  f.Out.clear();
  f.wait(retry::FirstContentProbeDelay);
  for (int i = 0; i < 100; ++i)
    f.request("/unsafe/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  f.wait(retry::FirstContentProbeDelay);
  f.answer(sendUntilProbe(f).Call, 200);
  const auto report = std::get<message::CrashReport>(f.only<Gossip>().Message);
  BOOST_TEST(report.Answered);
  f.Out.clear();
  f.request("/unsafe/x");
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
  // A peer learns it too.
  Fixture peer(8);
  crash(peer);
  onCrashReport(peer.S, {7, {}, 10min, false, true}, peer.Out, peer.Time);
  BOOST_TEST(peer.all<Gossip>().size() == 1U);
  peer.request("/unsafe/x");
  BOOST_TEST(peer.all<CallBackend>().size() == 1U);
}

// Guards against sequences of events after which a request is answered twice or never, a request
// that is not idempotent runs twice, or the caller is told that a request did not run although it
// was sent and not rejected.
BOOST_AUTO_TEST_CASE(EveryRequestIsAnsweredExactlyOnce) {
  BOOST_TEST(rc::check([] {
    Fixture f(*rc::gen::inRange(1U, 5U));
    std::map<RequestId, std::string> paths;
    std::map<RequestId, int> ends;
    std::map<RequestId, std::size_t> mayHaveRun;
    std::set<RequestId> gone;
    std::map<CallId, RequestId> open;
    const auto settle = [&] {
      for (const Effect &it : f.Out) {
        if (const auto *e = std::get_if<CallBackend>(&it)) {
          RC_ASSERT(!(mayHaveRun[e->Request] > 0 &&
                      (paths[e->Request] == "/unsafe/x" || paths[e->Request] == "/once/x")));
          open[e->Call] = e->Request;
        } else if (const auto *c = std::get_if<CancelBackend>(&it)) {
          if (const auto o = open.find(c->Call); o != open.end()) {
            ++mayHaveRun[o->second];
            open.erase(o);
          }
        } else if (const auto *r = std::get_if<Refuse>(&it)) {
          ++ends[r->Request];
          if (r->Status == 503 || r->Status == 429)
            RC_ASSERT(mayHaveRun[r->Request] == 0U);
        } else if (const auto *a = std::get_if<ForwardAnswer>(&it)) {
          ++ends[a->Request];
        } else if (const auto *s = std::get_if<EndStream>(&it)) {
          ++ends[s->Request];
        } else if (const auto *x = std::get_if<AbortStream>(&it)) {
          ++ends[x->Request];
        }
      }
      f.Out.clear();
    };
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      const int what = *rc::gen::inRange(0, 8);
      if (what < 2 || open.empty()) {
        const char *path = *rc::gen::element("/safe/x", "/unsafe/x", "/once/x", "/resumed/x");
        paths[f.NextId] = path;
        // All contents differ, so that no request is refused because of crashes.
        f.request(path, "key", f.NextId + 100);
        settle();
        continue;
      }
      auto it = open.begin();
      std::advance(it, *rc::gen::inRange<std::size_t>(0, open.size()));
      const CallId call = it->first;
      const RequestId id = it->second;
      if (what == 2) {
        f.head(call, 200);
        f.bytes(call, "id: 1\ndata: x\n\n");
      } else if (what == 3) {
        open.erase(it);
        ++mayHaveRun[id];
        f.answer(call, *rc::gen::element(200, 500, 503));
      } else if (what == 4) {
        open.erase(it);
        ++mayHaveRun[id];
        f.end(call, BackendEnd::Broken);
      } else if (what == 5) {
        // NotSent is possible only before the head of an answer.
        if (f.S.ActiveRequests.at(id).Call.Status == 0) {
          open.erase(it);
          f.end(call, BackendEnd::NotSent);
        }
      } else if (what == 6) {
        if (f.S.ActiveRequests.at(id).Call.Status == 0) {
          open.erase(it);
          f.head(call, 503, true, true);
        }
      } else {
        if (gone.insert(id).second)
          onCallerGone(f.S, id, f.Out, f.Time);
      }
      settle();
    }
    f.wait(10s);
    settle();
    for (const auto &[id, path] : paths)
      RC_ASSERT(ends[id] == (gone.contains(id) ? 0 : 1));
    RC_ASSERT(f.S.ActiveRequests.empty());
    RC_ASSERT(f.S.Calls.empty());
    for (const auto &[id, server] : f.S.Servers.Servers)
      RC_ASSERT(server.Inflight == 0U);
  }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RelayLimits)

namespace {

struct Limited : Fixture {
  Limited() {
    Configuration limited = configuration(2);
    limited.Workspaces[0].Rate = 100;
    limited.Workspaces[0].Burst = 100;
    configure(S, std::make_shared<const Configuration>(buildIndexes(std::move(limited))));
  }
};

} // namespace

// Guards against admitting more requests than granted, and against refusing those that were
// granted.
BOOST_AUTO_TEST_CASE(GrantDecidesWaitingRequests) {
  Limited f;
  f.request("/safe/x");
  f.request("/safe/x");
  const ClaimTokens claim = f.only<ClaimTokens>();
  BOOST_TEST(f.all<CallBackend>().empty());
  onTokenGrant(f.S, {claim.Workspace, claim.Seq, 1, 500ms}, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
  // The second request came after the claim and waits for the next one, which is not made at once.
  f.wait(100ms);
  const auto claims = f.all<ClaimTokens>();
  BOOST_REQUIRE(claims.size() == 2U);
  onTokenGrant(f.S, {claim.Workspace, claims[1].Seq, 0, 500ms}, f.Out, f.Time, f.Rng);
  const Refuse refused = f.only<Refuse>();
  BOOST_TEST(refused.Status == 429);
  BOOST_TEST((refused.RetryAfter == 500ms));
}

// Guards against losing the tokens of requests that did not run.
BOOST_AUTO_TEST_CASE(TokensOfRejectedRequestsAreReturned) {
  Limited f;
  f.request("/unsafe/x");
  const ClaimTokens claim = f.only<ClaimTokens>();
  onTokenGrant(f.S, {claim.Workspace, claim.Seq, 1, 0ms}, f.Out, f.Time, f.Rng);
  const double before = f.S.Accounts["w"].Balance;
  for (int i = 0; i < 3; ++i)
    if (!f.S.ActiveRequests.empty())
      f.head(f.call().Call, 503, true, true);
  BOOST_TEST(f.all<Refuse>().size() == 1U);
  BOOST_TEST(f.S.Accounts["w"].Balance == before + 1);
}

// Guards against a tenant that spends its tokens more than once: those of a request were returned
// while a server ran it, because its caller left.
BOOST_AUTO_TEST_CASE(TokensOfRequestsThatMayRunAreSpent) {
  enum class Progress : std::uint8_t { Waiting, Sent, Answered, Streamed, Stalled };
  using enum Progress;
  for (const Progress progress : {Waiting, Sent, Answered, Streamed, Stalled}) {
    Limited f;
    if (progress == Waiting)
      for (const char *it : {"model0", "model1", "model2"})
        pauseServer(f.S.Servers, it, 200ms, f.Time);
    const RequestId id = f.request("/resumed/x");
    const ClaimTokens claim = f.only<ClaimTokens>();
    onTokenGrant(f.S, {claim.Workspace, claim.Seq, 1, 0ms}, f.Out, f.Time, f.Rng);
    const double before = f.S.Accounts["w"].Balance;
    BOOST_TEST(f.all<CallBackend>().empty() == (progress == Waiting));
    f.S.ActiveRequests.at(id).GiveUp = f.Time.Steady + 1h;
    if (progress >= Answered)
      f.head(f.call().Call, 200);
    if (progress >= Streamed)
      f.bytes(f.call().Call, "id: 1\ndata: a\n\n");
    if (progress == Stalled)
      f.wait(detail::stallTimeout(f.S.Config->Routes[3]) + 1ms);
    onCallerGone(f.S, id, f.Out, f.Time);
    BOOST_TEST(f.S.ActiveRequests.empty());
    BOOST_TEST(f.S.Accounts["w"].Balance == before + (progress == Waiting ? 1 : 0));
  }
}

BOOST_AUTO_TEST_SUITE_END()
