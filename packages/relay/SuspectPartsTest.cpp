// Requests whose prompts crash servers, as one node handles them.
#include "relay/RelayFixture.h"

#include <algorithm>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;

namespace {

constexpr std::uint64_t Shared = 100;
constexpr std::uint64_t Bad = 1;

struct PromptFixture : Fixture {
  std::uint64_t NextOwnPart = 1000;

  PromptFixture() : Fixture(6) {}

  RequestId ask(const std::vector<std::uint64_t> &sharedParts, const char *path = "/resumed/x") {
    RequestInfo info;
    info.AttemptId = "p" + std::to_string(NextId);
    info.Host = "h";
    info.Path = path;
    info.Key = "key";
    info.Deadline = 2000ms;
    info.ContentHash = NextOwnPart;
    for (const std::uint64_t it : sharedParts)
      info.Prompt.push_back({it, 500});
    info.Prompt.push_back({NextOwnPart++, 100});
    Out.clear();
    onRequest(S, NextId, info, Time.Steady, Out, Time, Rng);
    return NextId++;
  }

  /// The server begins the answer of the last call and ends.
  void crash() {
    const CallId id = call().Call;
    head(id, 200);
    Time.Steady += 20ms;
    end(id, BackendEnd::Broken);
  }

  void wait(Duration time) {
    Out.clear();
    Fixture::wait(time);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(SuspectParts)

// Guards against requests with one part of a prompt that crash servers one after the other, and
// against refusing what shares their other parts.
BOOST_AUTO_TEST_CASE(PromptsThatCrashServersAreRefused) {
  PromptFixture f;
  f.ask({Shared});
  f.answer(f.call().Call, 200, "data: 1\n\n");
  for (int i = 0; i < 2; ++i) {
    f.ask({Shared, Bad}, "/once/x");
    f.crash();
    f.wait(3s);
  }
  f.ask({Shared, Bad}, "/once/x");
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
  f.crash();
  f.ask({Shared, Bad}, "/once/x");
  BOOST_TEST(f.all<CallBackend>().empty());
  const Refuse refused = f.only<Refuse>();
  BOOST_TEST(refused.Status == 503);
  BOOST_TEST((refused.Code == ResultCode::Quarantined));
  BOOST_TEST((refused.RetryAfter > 0ms));
  f.ask({Shared});
  BOOST_TEST(f.all<CallBackend>().size() == 1U);
}

// Guards against a request that runs on although it is known to crash its server, and against one
// that is said not to have run though its server may have begun.
BOOST_AUTO_TEST_CASE(RunningRequestsAreGivenUpWithoutAPromise) {
  PromptFixture f;
  f.ask({Bad}, "/once/x");
  const CallId running = f.call().Call;
  message::PartEvidence evidence;
  for (std::uint64_t server = 1; server <= 3; ++server)
    evidence.Deaths.push_back({server, 300ms * server, {{{Bad}}}});
  f.Out.clear();
  onPartEvidence(f.S, evidence, f.Out, f.Time);
  BOOST_TEST(f.only<CancelBackend>().Call == running);
  BOOST_TEST(f.only<Refuse>().Status == 502);
  BOOST_TEST(f.all<Gossip>().size() == 1U);
  f.Out.clear();
  onPartEvidence(f.S, evidence, f.Out, f.Time);
  BOOST_TEST(f.Out.empty());
}

// Guards against a crash report for answers that broke off in the middle, or had not begun: their
// servers ended for another reason.
BOOST_AUTO_TEST_CASE(OnlyAnswersThatHaveJustBegunAreSuspect) {
  PromptFixture f;
  f.ask({Shared}, "/once/x");
  f.head(f.call().Call, 200);
  f.bytes(f.call().Call, "data: 1\n\n");
  f.wait(600ms);
  f.bytes(f.S.Calls.begin()->first, "data: 2\n\n");
  f.end(f.S.Calls.begin()->first, BackendEnd::Broken);
  BOOST_TEST(f.S.PartQuarantine.Deaths.empty());
  f.ask({Shared}, "/once/x");
  f.end(f.call().Call, BackendEnd::Broken);
  BOOST_TEST(f.S.PartQuarantine.Deaths.empty());
}

// Guards against a part that crashes servers at any point of the beginning of an answer and leaves
// no evidence there.
BOOST_AUTO_TEST_CASE(AnswersThatBreakAsTheyBeginAreSuspect) {
  struct Point {
    const char *What;
    bool HasHead;
    const char *Bytes;
    Duration FirstByte;
    Duration End;
    BackendEnd How;
  };
  for (const Point &it :
       {Point{"in the head", false, "", 0ms, 20ms, BackendEnd::BrokenInHead},
        Point{"after the head", true, "", 0ms, 20ms, BackendEnd::Broken},
        Point{"long after the head", true, "", 0ms, 900ms, BackendEnd::Broken},
        Point{"in an event", true, "id: 1\nda", 5ms, 5ms, BackendEnd::Broken},
        Point{"in a late event", true, "id", 800ms, 5ms, BackendEnd::Broken},
        Point{"a while after a byte", true, "i", 5ms, 700ms, BackendEnd::Closed},
        Point{"after an event", true, "data: 1\n\n", 5ms, 90ms, BackendEnd::Broken}}) {
    BOOST_TEST_CONTEXT(it.What) {
      PromptFixture f;
      for (int i = 0; i < 3; ++i) {
        f.ask({Shared, Bad}, "/once/x");
        const CallId call = f.call().Call;
        if (it.HasHead)
          f.head(call, 200);
        f.wait(it.FirstByte);
        if (*it.Bytes != '\0')
          f.bytes(call, it.Bytes);
        f.wait(it.End);
        f.end(call, it.How);
        f.wait(2s);
      }
      BOOST_TEST(f.S.PartQuarantine.Deaths.size() == 3U);
      f.ask({Shared, Bad}, "/once/x");
      BOOST_TEST(f.all<CallBackend>().empty());
    }
  }
}

// Guards against a node that starts and hears nothing of what is quarantined.
BOOST_AUTO_TEST_CASE(QuarantinesAreToldAgain) {
  PromptFixture f;
  for (int i = 0; i < 3; ++i) {
    f.ask({Bad}, "/once/x");
    f.crash();
    f.wait(3s);
  }
  f.wait(2s);
  const auto messages = f.all<Gossip>();
  BOOST_TEST(std::ranges::any_of(messages, [](const Gossip &it) {
    const auto *evidence = std::get_if<message::PartEvidence>(&it.Message);
    return evidence != nullptr && evidence->Deaths.size() == 3;
  }));
}

BOOST_AUTO_TEST_SUITE_END()
