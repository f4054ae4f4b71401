// Servers that send bytes without end, stop in the middle, or send nothing that counts.
#include "relay/RelayFixture.h"
#include "relay/detail/BackendCalls.h"

#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

namespace {

const std::string Chunk(60'000, 'x');

/// Sends bytes of a body until the call has ended; returns how many.
std::size_t floodBody(Fixture &f, CallId call, std::size_t most) {
  std::size_t sent = 0;
  while (sent < most && f.S.Calls.contains(call)) {
    f.bytes(call, Chunk);
    sent += Chunk.size();
  }
  return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RelayTroubledServers)

// Guards against an answer without end that fills the memory of the node, and against a refusal
// that claims that the request did not run.
BOOST_AUTO_TEST_CASE(AnswerWithoutEndIsBounded) {
  Fixture f;
  f.S.Settings.MaxAnswerBytes = 1'000'000;
  f.request("/unsafe/x");
  const CallId call = f.call().Call;
  f.head(call, 200);
  BOOST_TEST(floodBody(f, call, 10'000'000) < 1'100'000U);
  BOOST_TEST(f.only<Refuse>().Status == 502);
  BOOST_TEST(f.only<CancelBackend>().Call == call);
  BOOST_TEST(f.S.CollectedBytes == 0U);
  BOOST_TEST(f.S.Quarantine.Crashes.empty());
}

// Guards against an idempotent request that fails because one server sends without end.
BOOST_AUTO_TEST_CASE(IdempotentRequestGoesToAnotherServer) {
  Fixture f;
  f.request("/safe/x");
  const CallBackend first = f.call();
  f.head(first.Call, 200);
  floodBody(f, first.Call, 10'000'000);
  const CallBackend second = f.call();
  BOOST_TEST(second.Backend != first.Backend);
  f.answer(second.Call, 200, "whole");
  BOOST_TEST(f.only<ForwardAnswer>().Body == "whole");
  BOOST_TEST(f.S.CollectedBytes == 0U);
}

// Guards against many answers that are each within their bound and together fill the memory, and
// against small answers that suffer for them.
BOOST_AUTO_TEST_CASE(CollectedAnswersShareOneBound) {
  Fixture f(10);
  f.S.Settings.MaxCollectedBytes = 5'000'000;
  std::vector<CallId> calls;
  for (int i = 0; i < 40; ++i) {
    f.request("/unsafe/x");
    calls.push_back(f.call().Call);
    f.head(calls.back(), 200);
  }
  std::uint64_t most = 0;
  for (int round = 0; round < 60; ++round)
    for (const CallId it : calls) {
      f.bytes(it, Chunk);
      most = std::max(most, f.S.CollectedBytes);
    }
  BOOST_TEST(most < 5'000'000U + 40 * Chunk.size());
  f.request("/safe/x");
  f.answer(f.call().Call, 200, "small");
  BOOST_TEST(f.all<ForwardAnswer>().back().Body == "small");
}

// Guards against an event without end that is collected without bound.
BOOST_AUTO_TEST_CASE(EventWithoutEndIsBounded) {
  Fixture f;
  f.request("/resumed/x");
  const CallId call = f.call().Call;
  f.head(call, 200);
  f.bytes(call, "id: 1\ndata: ");
  BOOST_TEST(floodBody(f, call, 10'000'000) < 1'000'000U);
  BOOST_TEST(f.all<CancelBackend>().size() == 1U);
}

// Guards against too many skipped responses that count as a crash of the server: three such servers
// would bar the content.
BOOST_AUTO_TEST_CASE(ExcessIsNoCrash) {
  Fixture f;
  f.request("/unsafe/x");
  f.end(f.call().Call, BackendEnd::Excessive);
  BOOST_TEST(f.only<Refuse>().Status == 502);
  BOOST_TEST(f.S.Quarantine.Crashes.empty());
}

// Guards against a server that dies in the middle of an event and whose close passes for the end of
// the stream.
BOOST_AUTO_TEST_CASE(CloseWithinAnEventIsNoEnd) {
  for (const bool whole : {false, true}) {
    Fixture f;
    f.request("/once/x");
    const CallId call = f.call().Call;
    f.head(call, 200);
    f.bytes(call, whole ? "id: 1\ndata: a\n\n" : "id: 1\ndata: a");
    f.end(call, BackendEnd::Closed);
    BOOST_TEST(f.all<EndStream>().size() == (whole ? 1U : 0U));
    BOOST_TEST(f.all<AbortStream>().size() == (whole ? 0U : 1U));
  }
}

// Guards against a stream that ends within an event, framed as whole, and passes for complete.
BOOST_AUTO_TEST_CASE(FramedEndWithinAnEventIsNoEnd) {
  Fixture f;
  f.request("/once/x");
  f.head(f.call().Call, 200);
  f.bytes(f.call().Call, "id: 1\ndata: a\n\nid: 2\nda");
  f.end(f.call().Call, BackendEnd::Complete);
  BOOST_TEST(f.all<EndStream>().empty());
  BOOST_TEST(f.all<AbortStream>().size() == 1U);
  Fixture g;
  g.request("/resumed/x");
  const CallBackend first = g.call();
  g.head(first.Call, 200);
  g.bytes(first.Call, "id: 1\ndata: a\n\nid: 2\nda");
  g.end(first.Call, BackendEnd::Complete);
  BOOST_TEST(g.all<EndStream>().empty());
  BOOST_TEST(g.call().Call != first.Call);
  BOOST_TEST(g.call().ResumeAfter == "1");
}

// Guards against the error of the next server, or an end, in the middle of a stream that broke off.
BOOST_AUTO_TEST_CASE(ErrorOfTheNextServerStaysOutOfTheStream) {
  struct Case {
    int Status;
    bool IsGenuine;
    bool NotRun;
  };
  for (const Case &it : {Case{500, true, false}, Case{404, true, false}, Case{503, true, false},
                         Case{503, true, true}, Case{400, true, true}, Case{200, false, false}}) {
    Fixture f;
    f.request("/resumed/x");
    const CallBackend first = f.call();
    f.head(first.Call, 200);
    f.bytes(first.Call, "id: 1\ndata: a\n\n");
    f.end(first.Call, BackendEnd::Broken);
    f.Out.clear();
    f.S.Settings.RetrySlack = 0;
    const CallId second = first.Call + 1;
    BOOST_REQUIRE(f.S.Calls.contains(second));
    f.head(second, it.Status, it.IsGenuine, it.NotRun);
    f.bytes(second, "HTTP/1.1 500 error\r\n\r\ntext");
    f.end(second, BackendEnd::Complete);
    BOOST_TEST(f.all<StreamBytes>().empty(), it.Status);
    BOOST_TEST(f.all<EndStream>().empty(), it.Status);
    BOOST_TEST(f.all<AbortStream>().size() + f.all<CallBackend>().size() == 1U, it.Status);
  }
}

// Guards against a server that dies after the head of an answer without a length, and whose close
// passes for an empty but complete answer.
BOOST_AUTO_TEST_CASE(CloseWithoutABodyIsNoAnswer) {
  for (const char *path : {"/once/x", "/unsafe/x"}) {
    Fixture f;
    f.request(path);
    const CallId call = f.call().Call;
    f.head(call, 200);
    f.end(call, BackendEnd::Closed);
    BOOST_TEST(f.all<EndStream>().empty());
    BOOST_TEST(f.all<ForwardAnswer>().empty());
    BOOST_TEST(f.all<AbortStream>().size() + f.all<Refuse>().size() == 1U);
  }
}

// Guards against a sound stream that is cut as its answer begins, because it waited at its server
// for longer than a stream may stall.
BOOST_AUTO_TEST_CASE(WaitingAtTheServerIsNoStall) {
  Fixture f;
  f.request("/once/x");
  const CallId call = f.call().Call;
  f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
  f.wait(8s);
  f.head(call, 200);
  f.wait(20ms);
  f.bytes(call, "data: 1\n\n");
  f.end(call, BackendEnd::Complete);
  BOOST_TEST(f.all<AbortStream>().empty());
  BOOST_TEST(f.all<EndStream>().size() == 1U);
}

// Guards against a stalled stream that lives because its server sends a byte now and then, and
// against a slow one that is cut although it makes progress.
BOOST_AUTO_TEST_CASE(StalledStreamsEndAndSlowOnesLive) {
  BOOST_TEST(rc::check([] {
    Fixture f;
    f.request("/once/x");
    const CallId call = f.call().Call;
    f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
    f.head(call, 200);
    const Duration limit = detail::stallTimeout(f.S.Config->Routes[2]);
    const auto gap = [&](int percent) { return limit * percent / 100; };
    for (int i = 0; i < 30; ++i) {
      f.wait(gap(*rc::gen::inRange(1, 97)));
      RC_ASSERT(f.all<AbortStream>().empty());
      f.bytes(call, "id: " + std::to_string(i) + "\ndata: a\n\n");
    }
    const std::string noise =
        *rc::gen::element<std::string>("\n", ": c\n\n", "data:\n\n", "x", "event: ping\n\n");
    const TimePoint stalled = f.Time.Steady;
    while (f.all<AbortStream>().empty()) {
      RC_ASSERT(f.Time.Steady - stalled <= limit + gap(30));
      f.bytes(call, noise);
      f.wait(gap(*rc::gen::inRange(5, 30)));
    }
    RC_ASSERT(f.S.ActiveRequests.empty());
  }));
}

// Guards against a resumable stream that breaks off at the caller because its server is silent,
// while another server could continue it.
BOOST_AUTO_TEST_CASE(StalledResumableStreamGoesOnElsewhere) {
  Fixture f;
  f.request("/resumed/x");
  const CallBackend first = f.call();
  f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
  f.head(first.Call, 200);
  f.bytes(first.Call, "id: 1\ndata: a\n\n");
  f.wait(detail::stallTimeout(f.S.Config->Routes[3]) + 1ms);
  const CallBackend second = f.call();
  BOOST_TEST(second.Backend != first.Backend);
  BOOST_TEST(second.ResumeAfter == "1");
  BOOST_TEST(f.all<CancelBackend>().empty());
  f.head(second.Call, 200);
  BOOST_TEST(f.only<CancelBackend>().Call == first.Call);
}

// Guards against servers that are gone and are left later than after half of the callers' patience
// each, while another one can continue the stream.
BOOST_AUTO_TEST_CASE(DarkServersAreLeftOneAfterTheOther) {
  Fixture f;
  Configuration config = configuration(2);
  config.Routes[3].MaxAttempts = 3;
  configure(f.S, std::make_shared<const Configuration>(config));
  f.request("/resumed/x");
  f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
  const CallBackend first = f.call();
  f.head(first.Call, 200);
  f.bytes(first.Call, "id: 1\ndata: a\n\n");
  const Duration limit = detail::stallTimeout(f.S.Config->Routes[3]);
  for (std::size_t left = 1; left <= 2; ++left) {
    f.wait(limit);
    BOOST_TEST(f.all<CallBackend>().size() == left);
    f.wait(20ms);
    BOOST_TEST(f.all<CallBackend>().size() == left + 1);
    // One silent server is kept beside the one that was asked last.
    BOOST_TEST(f.all<CancelBackend>().size() == left - 1);
  }
  BOOST_TEST(f.call().ResumeAfter == "1");
}

// Guards against a stream that breaks off because sound servers are silent for a moment, as when
// they preempt it: the attempts, the servers or the retry budget were used up, and the node did not
// wait for the server that it still had.
BOOST_AUTO_TEST_CASE(SilentServerIsKeptIfNoOtherCanContinue) {
  enum class Lacks : std::uint8_t { Attempts, Servers, Budget };
  for (const Lacks what : {Lacks::Attempts, Lacks::Servers, Lacks::Budget}) {
    Fixture f(what == Lacks::Servers ? 1 : 3);
    if (what == Lacks::Budget)
      f.S.Settings.RetryRatio = f.S.Settings.RetrySlack = 0;
    f.request("/resumed/x");
    f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
    const Route &route = f.S.Config->Routes[3];
    const Duration stalled = detail::stallTimeout(route) + 1ms;
    f.head(f.call().Call, 200);
    f.bytes(f.call().Call, "id: 1\ndata: a\n\n");
    if (what == Lacks::Attempts)
      for (unsigned sends = 1; sends < route.MaxAttempts; ++sends) {
        f.wait(stalled);
        f.head(f.call().Call, 200);
      }
    const CallBackend last = f.call();
    const std::size_t calls = f.all<CallBackend>().size();
    f.wait(stalled);
    f.wait(detail::callerPatience(route) - stalled - 1ms);
    BOOST_TEST(f.all<AbortStream>().empty());
    BOOST_TEST(f.all<CallBackend>().size() == calls);
    f.bytes(last.Call, "id: 2\ndata: b\n\n");
    f.end(last.Call, BackendEnd::Complete);
    BOOST_TEST(f.all<EndStream>().size() == 1U);
  }
}

// Guards against a stream whose server is silent for longer than its caller waits and that is kept.
BOOST_AUTO_TEST_CASE(SilentServerIsNotKeptForever) {
  Fixture f(1);
  f.request("/resumed/x");
  f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
  f.head(f.call().Call, 200);
  f.bytes(f.call().Call, "id: 1\ndata: a\n\n");
  f.wait(detail::callerPatience(f.S.Config->Routes[3]) + 1ms);
  BOOST_TEST(f.all<AbortStream>().size() == 1U);
  BOOST_TEST(f.S.ActiveRequests.empty());
}

// Guards against a stream that stays with a silent server after another one has become available.
BOOST_AUTO_TEST_CASE(SilentServerIsLeftOnceAnotherCanContinue) {
  Fixture f;
  f.S.Settings.RetryRatio = f.S.Settings.RetrySlack = 0;
  f.request("/resumed/x");
  f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
  const CallBackend first = f.call();
  f.head(first.Call, 200);
  f.bytes(first.Call, "id: 1\ndata: a\n\n");
  f.wait(detail::stallTimeout(f.S.Config->Routes[3]) + 1ms);
  BOOST_TEST(f.call().Call == first.Call);
  f.S.Settings.RetrySlack = 100;
  f.wait(250ms);
  BOOST_TEST(f.call().Backend != first.Backend);
  BOOST_TEST(f.all<CancelBackend>().empty());
  f.head(f.call().Call, 200);
  BOOST_TEST(f.only<CancelBackend>().Call == first.Call);
}

BOOST_AUTO_TEST_SUITE_END()
