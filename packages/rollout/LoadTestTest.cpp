// Single decisions of the holder around the load test.
#include "rollout/Controller.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::rollout;
using namespace std::chrono_literals;

namespace {

/// A holder in the load test of an order of 12 s, `age` after the order.
struct LoadingFixture {
  Now Time{TimePoint(1000s), WallTime(1'000'000'000ms)};
  Inputs In{.MayAct = true, .Token = 1, .TargetSlots = 64, .OldSlots = 64, .TargetServers = 8};
  Random Rng{1};
  Controller C;

  explicit LoadingFixture(Duration age) {
    const Mark mark{5, std::chrono::time_point_cast<WallTime::duration>(Time.Wall - age), 0};
    C = makeController({"s", "v2", 12s, 5}, {0.1, 50}, std::nullopt, mark, Time);
    C.Mark->Granted = 1000;
    C.ActiveWritten = true;
    C.State = State::Loading;
    C.LoadServers = 2;
    C.Entered = Time.Steady - 2s;
  }
  State after(double rise) {
    C.Routes["a"].Failed.Rise = rise;
    tick(C, In, Time);
    return C.State;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LoadTests)

// Guards against a shift of the traffic to a target against which there is evidence, while there is
// time for more, and against a good version that is reverted by little evidence.
BOOST_AUTO_TEST_CASE(EvidenceHoldsTheShift) {
  BOOST_TEST((LoadingFixture(8s).after(1) == State::Shifting));
  BOOST_TEST((LoadingFixture(8s).after(4) == State::Loading));
  BOOST_TEST((LoadingFixture(8s).after(7) == State::Loading));
  BOOST_TEST((LoadingFixture(9600ms).after(4) == State::Shifting));
  BOOST_TEST((LoadingFixture(9600ms).after(7) == State::Reverted));
}

// Guards against units that idle nodes hold while requests of others find none.
BOOST_AUTO_TEST_CASE(NodesGetNoMoreUnitsThanTheyUse) {
  LoadingFixture f(8s);
  message::RolloutReport report;
  report.Service = "s";
  report.Order = 5;
  report.Node = "n";
  report.Seq = 1;
  report.Seen = 8;
  // A quarter of eight requests: three times two, and two.
  BOOST_TEST(onReport(f.C, report, f.In, f.Time, f.Rng).Units == 8U);
}

// Guards against units that are spent on routes without doubt.
BOOST_AUTO_TEST_CASE(SuspectRouteGetsMoreRequests) {
  LoadingFixture f(8s);
  for (const char *route : {"a", "b"}) {
    f.C.Routes[route].Failed.Total.BaseAnswers = 100;
    f.C.Routes[route].Slow.Total.BaseAnswers = 100;
  }
  f.C.Routes["a"].Failed.Rise = 2.5;
  message::RolloutReport report;
  report.Service = "s";
  report.Order = 5;
  report.Node = "n";
  report.Seq = 1;
  report.Seen = 8;
  const message::RolloutGrant grant = onReport(f.C, report, f.In, f.Time, f.Rng);
  BOOST_REQUIRE_EQUAL(grant.Routes.size(), 2U);
  BOOST_TEST(grant.Routes[0].Permille == 375U);
  BOOST_TEST(grant.Routes[1].Permille == 125U);
}

// Guards against a good version that is reverted because its holder died while it was closing and
// the next one takes over after the time of the order.
BOOST_AUTO_TEST_CASE(TakeoverAfterTheTimeLooksAtTheEvidence) {
  for (const std::uint64_t failed : {0U, 40U}) {
    Now time{TimePoint(1000s), WallTime(1'000'000'000ms)};
    const Mark mark{5, time.Wall - 13s, 200};
    Controller c = makeController({"s", "v2", 12s, 5}, {0.1, 50},
                                  Status{StatusState::Active, "v2", 6}, mark, time);
    const Inputs in{
        .MayAct = true, .Token = 2, .TargetSlots = 64, .OldSlots = 64, .TargetServers = 8};
    Random rng{1};
    message::RolloutReport report;
    report.Service = "s";
    report.Order = 5;
    report.Node = "n";
    report.Seq = 9;
    report.Sent = 200;
    report.Seen = 2000;
    report.Counts = {{"a", false, 1000, 0, 0}, {"a", true, 200, failed, 0}};
    onReport(c, report, in, time, rng);
    for (int i = 0; i < 4; ++i) {
      time.Steady += 500ms;
      time.Wall += 500ms;
      tick(c, in, time);
    }
    BOOST_TEST((c.State == State::Reverted) == (failed > 0));
  }
}

BOOST_AUTO_TEST_SUITE_END()
