#include "base/Random.h"
#include "duty/UsagePosting.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::duty;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(DutyUsage)

// Guards against counts that change with repeated or reordered reports.
BOOST_AUTO_TEST_CASE(RepeatedReportsCountOnce) {
  UsageCounters node;
  UsageCounters holder;
  countRequest(node, "a", "w", WallTime(101s));
  const auto first = makeNodeReport(node, "a");
  countRequest(node, "a", "w", WallTime(102s));
  const auto second = makeNodeReport(node, "a");
  for (const auto &it : {second, first, second})
    mergeReport(holder, it);
  countRequest(holder, "b", "w", WallTime(103s));
  BOOST_TEST(windowTotals(holder, 20).at("w") == 3U);
  BOOST_TEST(windowTotals(holder, 21).empty());
  pruneWindows(holder, WallTime(200s));
  BOOST_TEST(holder.Windows.empty());
}

// Guards against a new holder that posts before the other nodes have reported to it: seen as a
// window that lacked 223 of 242 requests after a change of the holder.
BOOST_AUTO_TEST_CASE(NewHolderWaitsForReports) {
  UsageCounters counters;
  UsagePosting posting;
  onDutyTaken(posting, counters, WallTime(108s));
  onRecordRead(posting, UsageRecord{20, {}}, 1);
  const auto repeated = nextStep(posting, counters, WallTime(108s));
  BOOST_REQUIRE(repeated.has_value());
  onPosted(posting);
  BOOST_TEST(!nextStep(posting, counters, WallTime(108s) + TakeoverReportTime / 2).has_value());
  countRequest(counters, "other", "w", WallTime(106s));
  const auto step = nextStep(posting, counters, WallTime(113s));
  BOOST_REQUIRE(step.has_value());
  BOOST_TEST(step->Window == 21U);
  BOOST_TEST(step->Counts.at("w") == 1U);
}

// Guards against posting one window twice with different counts, and against windows that are never
// posted, while the holder changes and answers are lost.
BOOST_AUTO_TEST_CASE(EachWindowIsPostedWithOneSetOfCounts) {
  BOOST_TEST(rc::check([] {
    Random rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto draw = [&](int n) { return std::uniform_int_distribution(0, n - 1)(rng); };
    std::optional<UsageRecord> stored;
    std::uint64_t revision = 0;
    std::map<std::uint64_t, RequestCounts> accepted;
    UsagePosting holder;
    UsageCounters counters;
    WallTime now{1000s};
    onDutyTaken(holder, counters, now);
    for (int i = 0; i < 400; ++i) {
      now += 500ms;
      for (int k = draw(3); k > 0; --k)
        countRequest(counters, "n", "w", now);
      if (draw(40) == 0) {
        // Another node takes over the duty, with counts that arrived late.
        holder = {};
        onDutyTaken(holder, counters, now);
      }
      if (!holder.RecordKnown)
        onRecordRead(holder, stored, revision);
      const auto step = nextStep(holder, counters, now);
      if (!step)
        continue;
      const int luck = draw(6);
      if (luck == 0) {
        onStepFailed(holder, *step);
        continue;
      }
      if (step->Type == UsageStep::Kind::Record) {
        const bool holds = step->ExpectedRevision == revision;
        if (holds) {
          stored = UsageRecord{step->Window, step->Counts};
          ++revision;
        }
        if (luck == 1 || !holds)
          onStepFailed(holder, *step);
        else
          onRecorded(holder, *step, revision);
      } else {
        const auto [it, fresh] = accepted.emplace(step->Window, step->Counts);
        RC_ASSERT(it->second == step->Counts);
        if (luck == 1)
          onStepFailed(holder, *step);
        else
          onPosted(holder);
      }
    }
    RC_ASSERT(accepted.size() >= 35U);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
