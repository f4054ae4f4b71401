// Streams whose server falls silent, which another server may continue.
#include "relay/RelayFixture.h"
#include "relay/detail/BackendCalls.h"

#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

namespace {

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: a\n\n"; }

/// A stream whose first server has sent one event and is silent, so that another one was asked.
struct StalledFixture : Fixture {
  CallBackend Silent;

  explicit StalledFixture(unsigned servers) : Fixture(servers) {
    request("/resumed/x");
    S.ActiveRequests.begin()->second.GiveUp = Time.Steady + 1h;
    Silent = call();
    head(Silent.Call, 200);
    bytes(Silent.Call, event(1));
    wait(detail::stallTimeout(S.Config->Routes[3]) + 1ms);
    BOOST_REQUIRE(all<CallBackend>().size() == 2U);
  }

  std::string streamed() const {
    std::string out;
    for (const StreamBytes &it : all<StreamBytes>())
      out += it.Bytes;
    return out;
  }

  bool isCancelled(CallId id) const {
    for (const CancelBackend &it : all<CancelBackend>())
      if (it.Call == id)
        return true;
    return false;
  }

  /// The silent server goes on, and the stream arrives whole.
  void checkGoesOn() {
    BOOST_TEST(!isCancelled(Silent.Call));
    bytes(Silent.Call, event(2));
    end(Silent.Call, BackendEnd::Complete);
    BOOST_TEST(streamed() == event(1) + event(2));
    BOOST_TEST(all<EndStream>().size() == 1U);
    BOOST_TEST(all<AbortStream>().empty());
    BOOST_TEST(S.ActiveRequests.empty());
    BOOST_TEST(S.Calls.empty());
    for (const auto &[id, server] : S.Servers.Servers)
      BOOST_TEST(server.Inflight == 0U);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayStalledStreams)

// Guards against a stream that is aborted although its server was only silent for a moment: its
// call was given up for another server, which then failed.
BOOST_AUTO_TEST_CASE(SilentServerIsNotLeftForOneThatFails) {
  enum class Failure : std::uint8_t { Full, NotSent, Broken, ServerError, NotFound, NotGenuine };
  using enum Failure;
  for (const Failure how : {Full, NotSent, Broken, ServerError, NotFound, NotGenuine}) {
    StalledFixture f(2);
    const CallId other = f.call().Call;
    if (how == Full)
      f.head(other, 503, true, true);
    else if (how == NotSent)
      f.end(other, BackendEnd::NotSent);
    else if (how == Broken)
      f.end(other, BackendEnd::Broken);
    else if (how == NotGenuine) {
      f.head(other, 200, false);
      f.bytes(other, event(2));
      f.end(other, BackendEnd::Complete);
    } else
      f.answer(other, how == ServerError ? 500 : 404);
    f.checkGoesOn();
  }
}

// Guards against a stream that is left while the next server has not answered yet.
BOOST_AUTO_TEST_CASE(SilentServerThatGoesOnKeepsTheStream) {
  StalledFixture f(2);
  const CallId other = f.call().Call;
  f.bytes(f.Silent.Call, "id: 2\nda");
  BOOST_TEST(!f.isCancelled(other));
  f.bytes(f.Silent.Call, "ta: a\n\n");
  BOOST_TEST(f.isCancelled(other));
  f.head(other, 200);
  f.bytes(other, event(2));
  BOOST_TEST(f.streamed() == event(1) + event(2));
  f.end(f.Silent.Call, BackendEnd::Complete);
  BOOST_TEST(f.all<EndStream>().size() == 1U);
  BOOST_TEST(f.S.ActiveRequests.empty());
}

// Guards against two servers that work on one stream after one of them has taken it, and against
// pieces of both in the stream.
BOOST_AUTO_TEST_CASE(SilentServerIsLeftWhenAnotherHasTheStream) {
  StalledFixture f(2);
  const CallBackend other = f.call();
  BOOST_TEST(other.ResumeAfter == "1");
  BOOST_TEST(!f.isCancelled(f.Silent.Call));
  f.bytes(f.Silent.Call, "id: 2\nda");
  f.head(other.Call, 200);
  BOOST_TEST(f.only<CancelBackend>().Call == f.Silent.Call);
  f.bytes(f.Silent.Call, "ta: a\n\n");
  f.bytes(other.Call, event(2));
  f.end(other.Call, BackendEnd::Complete);
  BOOST_TEST(f.streamed() == event(1) + event(2));
  BOOST_TEST(f.all<EndStream>().size() == 1U);
}

// Guards against a stream of a server that is gone and that waits after the next server has refused
// it, while a third one could continue it.
BOOST_AUTO_TEST_CASE(NextServerIsAskedAtOnceAfterARefusal) {
  StalledFixture f(3);
  f.head(f.call().Call, 503, true, true);
  BOOST_REQUIRE(f.all<CallBackend>().size() == 3U);
  BOOST_TEST(!f.isCancelled(f.Silent.Call));
  f.head(f.call().Call, 200);
  BOOST_TEST(f.isCancelled(f.Silent.Call));
}

// Guards against a stream that ends with its silent server while another one is being asked.
BOOST_AUTO_TEST_CASE(EndOfTheSilentServerLeavesTheOther) {
  for (const BackendEnd how : {BackendEnd::Broken, BackendEnd::Excessive}) {
    StalledFixture f(2);
    const CallId other = f.call().Call;
    f.end(f.Silent.Call, how);
    BOOST_TEST(f.all<AbortStream>().empty());
    BOOST_TEST(!f.isCancelled(other));
    f.head(other, 200);
    f.bytes(other, event(2));
    f.end(other, BackendEnd::Complete);
    BOOST_TEST(f.streamed() == event(1) + event(2));
    BOOST_TEST(f.all<EndStream>().size() == 1U);
  }
}

// Guards against servers that work on for a caller that has left.
BOOST_AUTO_TEST_CASE(BothCallsEndWithTheRequest) {
  for (const bool leaves : {true, false}) {
    StalledFixture f(2);
    const CallId other = f.call().Call;
    if (leaves)
      onCallerGone(f.S, f.Silent.Request, f.Out, f.Time);
    else
      endRequests(f.S, f.Out, f.Time, f.Rng);
    BOOST_TEST(f.isCancelled(f.Silent.Call));
    BOOST_TEST(f.isCancelled(other));
    BOOST_TEST(f.S.Calls.empty());
  }
}

// Guards against a silent server that is given up because the prompt crashes the next one.
BOOST_AUTO_TEST_CASE(QuarantineEndsOnlyTheCallThatHasNotBegun) {
  StalledFixture f(3);
  const CallId other = f.call().Call;
  ActiveRequest &request = f.S.ActiveRequests.begin()->second;
  request.Info.Prompt = {{1, 100}, {2, 100}};
  f.S.PartQuarantine.Quarantined.push_back(sharedParts(request.Info.Prompt));
  f.wait(1ms);
  BOOST_TEST(f.isCancelled(other));
  BOOST_TEST(f.all<CallBackend>().size() == 2U);
  f.checkGoesOn();
}

namespace {

// Events of the whole stream.
constexpr int StreamEvents = 12;

/// What the test knows about one call of a stream.
struct ModelCall {
  bool HasAnswer = false;
  /// The next event that its server sends.
  int Next = 1;
  TimePoint LastEvent{};
};

} // namespace

// Guards against orders of silence, refusals and failures after which a stream is left for a server
// that has not taken it, runs too often, or arrives in another order than its events.
BOOST_AUTO_TEST_CASE(StreamsAreLeftOnlyForServersThatHaveThem) {
  BOOST_TEST(rc::check([] {
    Fixture f(*rc::gen::inRange(1U, 6U));
    Configuration config = configuration(2);
    config.Routes[3].MaxAttempts = *rc::gen::inRange(1U, 4U);
    configure(f.S, std::make_shared<const Configuration>(buildIndexes(std::move(config))));
    const Route &route = f.S.Config->Routes[3];
    f.request("/resumed/x");
    f.S.ActiveRequests.begin()->second.GiveUp = f.Time.Steady + 1h;
    std::map<CallId, ModelCall> open;
    std::string streamed;
    unsigned runs = 0;
    bool hasEnded = false;
    // Carries out the effects of an event, which was one of `active` unless that is 0.
    const auto settle = [&](CallId active) {
      const bool isAborted = !f.all<AbortStream>().empty();
      const bool ends = isAborted || !f.all<EndStream>().empty() || !f.all<Refuse>().empty();
      for (const StreamBytes &it : f.all<StreamBytes>())
        streamed += it.Bytes;
      for (const CallBackend &it : f.all<CallBackend>())
        open[it.Call] = {.Next = it.ResumeAfter.empty() ? 1 : std::stoi(it.ResumeAfter) + 1,
                         .LastEvent = f.Time.Steady};
      for (const CancelBackend &it : f.all<CancelBackend>()) {
        const auto call = open.find(it.Call);
        if (call == open.end())
          continue;
        const Duration silence = f.Time.Steady - call->second.LastEvent;
        const bool isTaken =
            active != 0 && active != it.Call && open.contains(active) && open[active].HasAnswer;
        RC_ASSERT((ends && !isAborted) || isTaken || silence >= detail::callerPatience(route));
        ++runs;
        open.erase(call);
      }
      RC_ASSERT(runs + open.size() <= route.MaxAttempts);
      RC_ASSERT(open.size() <= 2U);
      hasEnded = hasEnded || ends;
      f.Out.clear();
    };
    settle(0);
    for (int step = 0; step < 120 && !hasEnded; ++step) {
      if (open.empty() || *rc::gen::inRange(0, 3) == 0) {
        f.wait(*rc::gen::element<Duration>(50ms, 400ms, detail::stallTimeout(route) + 20ms));
        settle(0);
        continue;
      }
      auto it = open.begin();
      std::advance(it, *rc::gen::inRange<std::size_t>(0, open.size()));
      const CallId id = it->first;
      ModelCall &call = it->second;
      const int what = *rc::gen::inRange(0, 12);
      if (!call.HasAnswer) {
        if (what < 6) {
          call.HasAnswer = true;
          f.head(id, 200);
        } else if (what < 9) {
          open.erase(id);
          f.head(id, 503, true, true);
        } else if (what < 11) {
          open.erase(id);
          f.end(id, BackendEnd::NotSent);
        } else {
          open.erase(id);
          ++runs;
          f.end(id, BackendEnd::Broken);
        }
      } else if (call.Next > StreamEvents) {
        open.erase(id);
        ++runs;
        f.end(id, BackendEnd::Complete);
      } else if (what < 11) {
        call.LastEvent = f.Time.Steady;
        f.bytes(id, event(call.Next++));
      } else {
        open.erase(id);
        ++runs;
        f.end(id, BackendEnd::Broken);
      }
      const bool isWhole = !f.all<EndStream>().empty();
      settle(id);
      std::string expected;
      for (int n = 1; expected.size() < streamed.size(); ++n)
        expected += event(n);
      RC_ASSERT(streamed == expected);
      RC_ASSERT(!isWhole || streamed.ends_with(event(StreamEvents)));
    }
    if (!hasEnded) {
      onCallerGone(f.S, 1, f.Out, f.Time);
      settle(0);
    }
    RC_ASSERT(f.S.ActiveRequests.empty());
    RC_ASSERT(f.S.Calls.empty());
    for (const auto &[id, server] : f.S.Servers.Servers)
      RC_ASSERT(server.Inflight == 0U);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
