// What answers say about the versions of a service.
#include "relay/RolloutFixture.h"

#include <utility>

using namespace chervil;
using namespace chervil::relay;
using namespace chervil::relay::test;
using namespace std::chrono_literals;

namespace {

struct EvidenceFixture : RolloutFixture {
  EvidenceFixture() { hear(grant()); }

  message::RolloutCounts counts(bool target, const std::string &service = "app") {
    message::RolloutCounts sum;
    for (const message::RolloutCounts &it : report(service).Counts)
      if (it.Target == target) {
        sum.Answers += it.Answers;
        sum.Failed += it.Failed;
        sum.Slow += it.Slow;
      }
    return sum;
  }
  /// Answers after a time; the callers' deadline is 2 s.
  void answerAfter(CallId call, Duration time) {
    Time.Steady += time;
    answer(call, 200);
  }
  /// Old answers that make 10 ms usual.
  void makeUsual(const char *path = "/safe/x") {
    for (int i = 0; i < 6; ++i)
      answerAfter(sendToOld(path).Call, 10ms);
  }
  void breakOff(const CallBackend &call) {
    head(call.Call, 200);
    bytes(call.Call, "x");
    end(call.Call, BackendEnd::Broken);
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(RelayRolloutEvidence)

// Guards against answers that are not counted, or counted for the other version or route.
BOOST_AUTO_TEST_CASE(GoodAndFailedAnswersAreCountedByRouteAndVersion) {
  EvidenceFixture f;
  f.answer(f.sendToOld().Call, 200);
  f.answer(f.sendToTarget("/unsafe/x").Call, 500);
  f.answer(f.sendToTarget().Call, 200);
  const message::RolloutReport report = f.report();
  BOOST_REQUIRE_EQUAL(report.Counts.size(), 3U);
  for (const message::RolloutCounts &it : report.Counts) {
    BOOST_TEST(it.Answers == 1U);
    BOOST_TEST(it.Failed == (it.Route == "unsafe" ? 1U : 0U));
    BOOST_TEST((it.Target || it.Route == "safe"));
  }
}

// Guards against a target that looks bad by what its servers did not do wrong.
BOOST_AUTO_TEST_CASE(ClientErrorsAndDeclaredRefusalsAreNoEvidence) {
  EvidenceFixture f;
  for (const int status : {400, 404, 408, 429})
    f.answer(f.sendToTarget("/unsafe/x").Call, status);
  f.head(f.sendToTarget("/unsafe/x").Call, 503, true, true);
  f.end(f.sendToTarget("/unsafe/x").Call, BackendEnd::NotSent);
  BOOST_TEST(f.counts(true).Answers == 0U);
  f.answer(f.sendToTarget("/unsafe/x").Call, 503);
  BOOST_TEST(f.counts(true).Failed == 1U);
}

// Guards against a target that answers with wrong or truncated bodies, or without the marks of an
// answer, and looks good.
BOOST_AUTO_TEST_CASE(WrongBodiesAreFailures) {
  EvidenceFixture f;
  const CallId foreign = f.sendToTarget("/unsafe/x").Call;
  f.head(foreign, 200, false);
  f.end(foreign, BackendEnd::Complete);
  f.end(f.sendToTarget("/unsafe/x").Call, BackendEnd::Excessive);
  BOOST_TEST(f.counts(true).Failed == 2U);
  const CallId stream = f.sendToTarget("/once/x").Call;
  f.head(stream, 200);
  f.bytes(stream, "data: x\n\ndata: ");
  f.end(stream, BackendEnd::Complete);
  f.wait(1600ms);
  BOOST_TEST(f.counts(true, "model").Failed == 1U);
}

// Guards against a server that answers well and is blamed for the lack of memory of this node.
BOOST_AUTO_TEST_CASE(LackOfMemoryIsNoEvidence) {
  EvidenceFixture f;
  f.S.Settings.MaxCollectedBytes = 1000;
  const CallId call = f.sendToTarget("/unsafe/x").Call;
  f.head(call, 200);
  f.bytes(call, std::string(100'000, 'x'));
  BOOST_TEST(f.all<Refuse>().size() == 1U);
  BOOST_TEST(f.counts(true).Answers == 0U);
}

// Guards against connections that a bad target breaks and that are not counted.
BOOST_AUTO_TEST_CASE(BrokenAnswersOfALivingServerAreFailures) {
  EvidenceFixture f;
  f.breakOff(f.sendToTarget("/unsafe/x"));
  BOOST_TEST(f.counts(true).Failed == 0U);
  f.Time.Steady += 1600ms;
  BOOST_TEST(f.counts(true).Failed == 1U);
  // An answer of the same server shows sooner that it lives.
  f.list({{"v1", 2}, {"v2", 1}});
  f.breakOff(f.sendToTarget("/unsafe/x"));
  f.answer(f.sendToTarget("/unsafe/x").Call, 200);
  BOOST_TEST(f.counts(true).Failed == 2U);
}

// Guards against a crash, which may have any cause, that reverts a rollout.
BOOST_AUTO_TEST_CASE(CrashesAreNoEvidence) {
  const auto check = [](const char *what, const auto &crash) {
    EvidenceFixture f;
    f.list({{"v1", 2}, {"v2", 1}});
    const CallBackend call = f.sendToTarget("/unsafe/x");
    crash(f, call);
    for (int i = 0; i < 20; ++i) {
      f.report();
      f.Time.Steady += 100ms;
    }
    BOOST_TEST(f.counts(true).Answers == 0U, what);
  };
  check("its entry lapses", [](EvidenceFixture &f, const CallBackend &call) {
    f.breakOff(call);
    f.Time.Steady += 1000ms;
    f.list({{"v1", 2}});
  });
  check("it restarts", [](EvidenceFixture &f, const CallBackend &call) {
    f.breakOff(call);
    f.Time.Steady += 1000ms;
    for (BackendEntry &it : f.Listed)
      it.Born = 99;
    f.relist();
  });
  check("it refuses connections", [](EvidenceFixture &f, const CallBackend &call) {
    f.breakOff(call);
    f.end(f.sendToTarget("/unsafe/x").Call, BackendEnd::NotSent);
  });
  check("all its answers break", [](EvidenceFixture &f, const CallBackend &call) {
    const CallBackend other = f.sendToTarget("/unsafe/x");
    f.breakOff(call);
    f.Time.Steady += 10ms;
    f.breakOff(other);
  });
  check("it had said that it leaves", [](EvidenceFixture &f, const CallBackend &call) {
    find(f.S.Servers, call.Backend)->Leaving = true;
    f.answer(call.Call, 500);
  });
}

// Guards against broken connections of a bad target that are taken for a crash as two of them
// coincide.
BOOST_AUTO_TEST_CASE(AnswersThatBreakBesideOthersAreFailures) {
  EvidenceFixture f;
  f.list({{"v1", 2}, {"v2", 1}});
  const CallBackend a = f.sendToTarget("/unsafe/x");
  const CallBackend b = f.sendToTarget("/unsafe/x");
  const CallBackend good = f.sendToTarget("/unsafe/x");
  f.breakOff(a);
  f.breakOff(b);
  BOOST_TEST(f.counts(true).Failed == 0U);
  f.answer(good.Call, 200);
  f.Time.Steady += 1600ms;
  BOOST_TEST(f.counts(true).Failed == 2U);
}

// Guards against contents that crash any server and count against the target.
BOOST_AUTO_TEST_CASE(QuarantinedContentsAreNoEvidence) {
  EvidenceFixture f;
  const CallBackend call = f.sendToTarget("/unsafe/x");
  for (const char *it : {"a", "b", "c"})
    retry::recordCrash(f.S.Quarantine, 7, it, false, f.Time);
  f.end(call.Call, BackendEnd::Excessive);
  BOOST_TEST(f.counts(true).Answers == 0U);
}

// Guards against calls that this node or its callers end and that count against the target.
BOOST_AUTO_TEST_CASE(CancelledCallsAreNoEvidence) {
  EvidenceFixture f;
  f.makeUsual();
  const std::uint64_t before = f.counts(false).Answers;
  f.sendToTarget();
  onCallerGone(f.S, f.NextId - 1, f.Out, f.Time);
  f.sendToTarget();
  f.sendToOld();
  f.Time.Steady += 1s;
  endRequests(f.S, f.Out, f.Time, f.Rng);
  BOOST_TEST(f.counts(true).Answers == 0U);
  BOOST_TEST(f.counts(false).Answers == before);
}

// Guards against a request that fails everywhere and counts against the target.
BOOST_AUTO_TEST_CASE(FailureAtBothVersionsIsWithdrawn) {
  EvidenceFixture f;
  f.answer(f.sendToTarget().Call, 500);
  BOOST_TEST(f.counts(true).Failed == 1U);
  f.answer(f.call().Call, 500);
  BOOST_TEST(f.counts(true).Answers == 0U);
  BOOST_TEST(f.counts(false).Answers == 0U);
  // The same while it is open whether the first server has crashed.
  f.breakOff(f.sendToTarget());
  f.answer(f.call().Call, 500);
  f.Time.Steady += 1600ms;
  BOOST_TEST(f.counts(true).Answers == 0U);
  BOOST_TEST(f.counts(false).Answers == 0U);
}

// Guards against a slow target that looks good, and an answer that is slow by chance and counts.
BOOST_AUTO_TEST_CASE(SlowIsMoreThanThreeTimesTheUsualTime) {
  EvidenceFixture f;
  f.answerAfter(f.sendToTarget().Call, 1s);
  BOOST_TEST(f.counts(true).Slow == 0U);
  f.makeUsual();
  f.answerAfter(f.sendToTarget().Call, 29ms);
  BOOST_TEST(f.counts(true).Slow == 0U);
  f.answerAfter(f.sendToTarget().Call, 31ms);
  BOOST_TEST(f.counts(true).Slow == 1U);
  f.answerAfter(f.sendToOld().Call, 31ms);
  BOOST_TEST(f.counts(false).Slow == 1U);
  BOOST_TEST(f.counts(true).Answers == 3U);
  // Answers of the target do not change what is usual.
  for (int i = 0; i < 30; ++i)
    f.answerAfter(f.sendToTarget().Call, 29ms);
  f.answerAfter(f.sendToTarget().Call, 31ms);
  BOOST_TEST(f.counts(true).Slow == 2U);
}

// Guards against a target that looks slow by long streams or late first events, and one whose
// events come slowly.
BOOST_AUTO_TEST_CASE(StreamsAreJudgedByTheTimePerEvent) {
  EvidenceFixture f;
  const auto stream = [&](const CallBackend &call, int events, Duration first, Duration gap) {
    f.Time.Steady += first;
    f.head(call.Call, 200);
    for (int i = 0; i < events; ++i) {
      f.bytes(call.Call, "data: x\n\n");
      f.Time.Steady += gap;
    }
    f.end(call.Call, BackendEnd::Complete);
  };
  for (int i = 0; i < 6; ++i)
    stream(f.sendToOld("/once/x"), 10, 50ms, 10ms);
  stream(f.sendToTarget("/once/x"), 100, 500ms, 10ms);
  stream(f.sendToTarget("/once/x"), 1, 500ms, 500ms);
  BOOST_TEST(f.counts(true, "model").Slow == 0U);
  stream(f.sendToTarget("/once/x"), 10, 50ms, 35ms);
  BOOST_TEST(f.counts(true, "model").Slow == 1U);
  BOOST_TEST(f.counts(true, "model").Answers == 3U);
}

// Guards against servers of the target that are reverted because they have just started.
BOOST_AUTO_TEST_CASE(WarmUpGivesNoEvidenceOfSlowness) {
  EvidenceFixture f;
  f.makeUsual();
  for (BackendEntry &it : f.Listed)
    it.WarmUpTime = it.Version == "v2" ? 2000ms : 0ms;
  f.relist();
  f.answerAfter(f.sendToTarget().Call, 100ms);
  BOOST_TEST(f.counts(true).Answers == 0U);
  f.answerAfter(f.sendToTarget().Call, 10ms);
  f.answer(f.sendToTarget("/unsafe/x").Call, 500);
  BOOST_TEST(f.counts(true).Answers == 2U);
  BOOST_TEST(f.counts(true).Failed == 1U);
  f.Time.Steady += 2s;
  f.answerAfter(f.sendToTarget().Call, 100ms);
  BOOST_TEST(f.counts(true).Slow == 1U);
}

// Guards against callers without patience that make a target look bad, and against a target that
// does not answer and looks good.
BOOST_AUTO_TEST_CASE(TimeoutsAreSlowAnswersIfLongerThanUsual) {
  EvidenceFixture f;
  for (int i = 0; i < 6; ++i)
    f.answerAfter(f.sendToOld().Call, 700ms);
  f.sendToTarget();
  f.wait(2000ms);
  BOOST_TEST(f.counts(true).Answers == 0U);
  for (int i = 0; i < 30; ++i)
    f.answerAfter(f.sendToOld().Call, 100ms);
  f.sendToTarget();
  f.wait(2000ms);
  BOOST_TEST(f.counts(true).Slow == 1U);
}

// Guards against streams of the target that fall silent, which are moved and leave no trace.
BOOST_AUTO_TEST_CASE(SilentStreamsAreSlow) {
  EvidenceFixture f;
  const auto begin = [&](const CallBackend &call) {
    f.head(call.Call, 200);
    for (int i = 0; i < 5; ++i) {
      f.bytes(call.Call, "data: x\n\n");
      f.Time.Steady += 10ms;
    }
    return call.Call;
  };
  for (int i = 0; i < 6; ++i)
    f.end(begin(f.sendToOld("/resumed/x")), BackendEnd::Complete);
  const CallId silent = begin(f.sendToTarget("/resumed/x"));
  // Its caller waits longer.
  f.S.ActiveRequests.at(f.NextId - 1).GiveUp += 10s;
  f.Time.Steady += 2000ms;
  f.allow(1);
  f.wait(20ms);
  BOOST_TEST(f.call().Call != silent);
  BOOST_TEST(f.versionOf(f.call()) == "v2");
  BOOST_TEST(f.counts(true, "model").Slow == 1U);
  // The same answer is not counted again if its server goes on.
  f.bytes(silent, "data: x\n\n");
  f.end(silent, BackendEnd::Complete);
  BOOST_TEST(f.counts(true, "model").Answers == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
