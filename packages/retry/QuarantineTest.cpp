#include "retry/Quarantine.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace chervil;
using namespace chervil::retry;
using namespace std::chrono_literals;

namespace {

Now at(Duration time) { return {TimePoint(time + 100s), WallTime{}}; }

} // namespace

BOOST_AUTO_TEST_SUITE(Quarantines)

// Guards against a quarantine after crashes of only one back end, and against one that ends early
// or never.
BOOST_AUTO_TEST_CASE(TwoDifferentBackendsQuarantineForTenMinutes) {
  Quarantine q;
  BOOST_TEST((contentStatus(q, 7, at(0s)) == ContentStatus::Clear));
  recordCrash(q, 7, "e1", false, at(0s));
  recordCrash(q, 7, "e1", true, at(1s));
  BOOST_TEST((contentStatus(q, 7, at(1s)) == ContentStatus::Suspect));
  const auto report = recordCrash(q, 7, "e2", true, at(9min));
  BOOST_TEST((report.Lifetime == 10min));
  BOOST_TEST((contentStatus(q, 7, at(18min + 59s)) == ContentStatus::Quarantined));
  BOOST_TEST((contentStatus(q, 8, at(9min)) == ContentStatus::Clear));
  BOOST_TEST((contentStatus(q, 7, at(19min)) == ContentStatus::Clear));
  recordCrash(q, 7, "e3", true, at(20min));
  BOOST_TEST((contentStatus(q, 7, at(20min)) == ContentStatus::Suspect));
  prune(q, at(31min));
  BOOST_TEST(q.Crashes.empty());
}

// Guards against refusing harmless requests that shared back ends with a crashing request: only a
// crash while the content runs alone completes a quarantine.
BOOST_AUTO_TEST_CASE(CrashesOfSharedBackendsDoNotQuarantine) {
  Quarantine q;
  for (const char *backend : {"e1", "e2", "e3"})
    recordCrash(q, 7, backend, false, at(0s));
  BOOST_TEST((contentStatus(q, 7, at(1s)) == ContentStatus::Suspect));
  const auto report = recordCrash(q, 7, "e3", true, at(1s));
  BOOST_TEST(report.Alone);
  BOOST_TEST((contentStatus(q, 7, at(1s)) == ContentStatus::Quarantined));
  Quarantine peer;
  mergeCrashReport(peer, {7, {"e1", "e3"}, 600s, false}, at(1s));
  BOOST_TEST((contentStatus(peer, 7, at(1s)) == ContentStatus::Suspect));
  BOOST_TEST(mergeCrashReport(peer, report, at(1s)));
  BOOST_TEST((contentStatus(peer, 7, at(1s)) == ContentStatus::Quarantined));
}

// Guards against placing the suspects of one crash independently of each other: suspects belong to
// one crash if their back ends crashed at about the same time.
BOOST_AUTO_TEST_CASE(SuspectsOfOneCrash) {
  Quarantine q;
  recordCrash(q, 9, "e1", false, at(1s));
  recordCrash(q, 7, "e1", false, at(1100ms));
  recordCrash(q, 8, "e2", false, at(30s));
  BOOST_TEST((lastCrash(q, 7, at(40s)) == at(1100ms).Steady));
  BOOST_TEST((suspectsOfCrash(q, at(1s).Steady, 2s, at(40s)) == std::vector<std::uint64_t>{7, 9}));
  recordCrash(q, 9, "e3", true, at(2s));
  BOOST_TEST((suspectsOfCrash(q, at(1s).Steady, 2s, at(40s)) == std::vector<std::uint64_t>{7}));
  BOOST_TEST(!lastCrash(q, 6, at(40s)).has_value());
}

// Guards against nodes that disagree because reports arrived in a different order or twice.
BOOST_AUTO_TEST_CASE(MergeIsCommutativeAndIdempotent) {
  BOOST_TEST(
      rc::check("merge", [](const std::vector<std::pair<std::uint8_t, std::uint16_t>> &crashes,
                            std::uint64_t seed) {
        std::vector<message::CrashReport> all;
        all.reserve(crashes.size());
        for (const auto &[backend, ms] : crashes)
          all.push_back({backend % 3U,
                         {"e" + std::to_string(backend)},
                         std::chrono::milliseconds(ms),
                         ms % 5 == 0});
        Quarantine a;
        Quarantine b;
        for (const auto &it : all)
          mergeCrashReport(a, it, at(0s));
        Random rng(seed);
        std::ranges::shuffle(all, rng);
        for (int i = 0; i < 2; ++i)
          for (const auto &it : all)
            mergeCrashReport(b, it, at(0s));
        RC_ASSERT(a.Crashes == b.Crashes);
        for (const auto &it : allCrashReports(a, at(0s)))
          RC_ASSERT(!mergeCrashReport(b, it, at(0s)));
      }));
}

// Guards against unbounded memory use.
BOOST_AUTO_TEST_CASE(EntriesAreBounded) {
  Quarantine q;
  for (std::uint64_t i = 0; i < MaxTrackedContents + 10; ++i)
    recordCrash(q, i, "e", false, at(std::chrono::milliseconds(i)));
  BOOST_TEST(q.Crashes.size() == MaxTrackedContents);
  BOOST_TEST(!q.Crashes.contains(0));
}

// Guards against a content that stays refused after it was answered, and against late reports of
// crashes before that.
BOOST_AUTO_TEST_CASE(AnswerEndsTheSuspicionOfEarlierCrashes) {
  Quarantine q;
  Quarantine peer;
  const auto first = recordCrash(q, 7, "e1", false, at(0s));
  mergeCrashReport(peer, first, at(0s));
  BOOST_TEST(!recordAnswer(q, 8, at(10s).Steady, at(11s)).has_value());
  mergeCrashReport(peer, recordCrash(q, 7, "e2", false, at(10500ms)), at(10500ms));
  // The request was sent between the two crashes.
  const auto answer = recordAnswer(q, 7, at(10s).Steady, at(11s));
  BOOST_REQUIRE(answer.has_value());
  BOOST_TEST(crashCount(q, 7, at(11s)) == 1U);
  BOOST_TEST(mergeCrashReport(peer, *answer, at(11s)));
  BOOST_TEST(!mergeCrashReport(peer, *answer, at(11s)));
  BOOST_TEST(!mergeCrashReport(peer, {7, {"e1"}, 589s, false, false}, at(11s)));
  BOOST_TEST(crashCount(peer, 7, at(11s)) == 1U);
  BOOST_TEST(recordAnswer(q, 7, at(12s).Steady, at(13s)).has_value());
  BOOST_TEST((contentStatus(q, 7, at(13s)) == ContentStatus::Clear));
  BOOST_TEST(allCrashReports(q, at(13s)).empty());
}

// Guards against a sound content that is refused because servers ended under long answers to it,
// and against one that always breaks off at the same point and is cleared by getting there.
BOOST_AUTO_TEST_CASE(ProgressEndsTheSuspicionOfEarlierPoints) {
  Quarantine q;
  Quarantine peer;
  const auto first = recordBrokenAnswer(q, 7, "e1", at(0s).Steady, 3, true, at(1s));
  mergeCrashReport(peer, first, at(1s));
  mergeCrashReport(peer, recordBrokenAnswer(q, 7, "e2", at(2s).Steady, 9, true, at(3s)), at(3s));
  BOOST_TEST((mostEventsOfCrash(q, 7, at(3s)) == 9U));
  const auto report = recordProgress(q, 7, 9, at(4s));
  BOOST_REQUIRE(report.has_value());
  BOOST_TEST(crashCount(q, 7, at(4s)) == 1U);
  BOOST_TEST(mergeCrashReport(peer, *report, at(4s)));
  BOOST_TEST(!mergeCrashReport(peer, first, at(1s)));
  BOOST_TEST(crashCount(peer, 7, at(4s)) == 1U);
  recordProgress(q, 7, 10, at(5s));
  BOOST_TEST(crashCount(q, 7, at(5s)) == 0U);
  BOOST_TEST(!mostEventsOfCrash(q, 7, at(5s)).has_value());
  // Peers that know of no crash aren't told of what refutes it.
  recordBrokenAnswer(q, 8, "e1", at(0s).Steady, 3, false, at(1s));
  BOOST_TEST(!recordProgress(q, 8, 9, at(2s)).has_value());
  recordBrokenAnswer(q, 8, "e1", at(2s).Steady, 3, false, at(3s));
  BOOST_TEST(!recordAnswer(q, 8, at(4s).Steady, at(5s)).has_value());
  BOOST_TEST(crashCount(q, 8, at(5s)) == 0U);
  // A later crash counts again.
  recordBrokenAnswer(q, 7, "e3", at(5s).Steady, 3, true, at(6s));
  BOOST_TEST(crashCount(q, 7, at(6s)) == 1U);
}

// Guards against a content in many requests that is refused because several servers ended at once.
BOOST_AUTO_TEST_CASE(ServersOfOneOutageCountOnce) {
  Quarantine q;
  Quarantine peer;
  for (int i = 0; i < 4; ++i) {
    const std::string name = "e" + std::to_string(i);
    const Now time = at(1s + i * 10ms);
    mergeCrashReport(peer, recordBrokenAnswer(q, 7, name, at(500ms).Steady, 0, true, time), time);
  }
  BOOST_TEST(crashCount(q, 7, at(2s)) == 1U);
  BOOST_TEST(crashCount(peer, 7, at(2s)) == 1U);
  // Sent after a crash under the same content, and crashed at once.
  recordBrokenAnswer(q, 7, "e5", at(1031ms).Steady, 0, true, at(1035ms));
  BOOST_TEST(crashCount(q, 7, at(2s)) == 2U);
  recordBrokenAnswer(q, 7, "e6", at(1s).Steady, 0, true, at(1500ms));
  BOOST_TEST(crashCount(q, 7, at(2s)) == 3U);
}

// Guards against a probe that comes too soon, and against one that never comes.
BOOST_AUTO_TEST_CASE(RefusedContentIsProbedLessOftenWithEachCrash) {
  Quarantine q;
  for (const char *backend : {"e1", "e2", "e3"})
    recordCrash(q, 7, backend, false, at(0s));
  BOOST_TEST(!isProbeDue(q, 7, 3, at(29s)));
  BOOST_TEST(isProbeDue(q, 7, 3, at(30s)));
  recordCrash(q, 7, "e4", false, at(30s));
  BOOST_TEST(!isProbeDue(q, 7, 3, at(89s)));
  BOOST_TEST(isProbeDue(q, 7, 3, at(90s)));
  BOOST_TEST(crashCount(q, 7, at(10min)) == 4U);
  BOOST_TEST(crashCount(q, 7, at(11min)) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
