#include "relay/PeerLoads.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RelayPeerLoads)

// Guards against totals that drift from the reports when these change or expire.
BOOST_AUTO_TEST_CASE(TotalsAreTheSumsOfTheReports) {
  BOOST_TEST(rc::check([] {
    PeerLoads loads;
    Now now{TimePoint(1000s), WallTime(0s)};
    for (int i = 0; i < 200; ++i) {
      now.Steady += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
      message::BackendLoads report;
      for (int n = *rc::gen::inRange(0, 5); n > 0; --n)
        report.Loads.push_back({"s" + std::to_string(*rc::gen::inRange(0, 6)),
                                *rc::gen::inRange(0U, 100'000U), *rc::gen::inRange(0U, 50U)});
      applyReport(loads, "n" + std::to_string(*rc::gen::inRange(0, 12)), report, now);
      std::map<std::string, PeerWork> sums;
      for (const auto &[node, it] : loads.Reports)
        for (const message::BackendLoad &load : it.Loads.Loads) {
          sums[load.Backend].Running += load.Running;
          sums[load.Backend].PendingTokens += load.PendingTokens;
        }
      for (int s = 0; s < 6; ++s) {
        const std::string server = "s" + std::to_string(s);
        RC_ASSERT(workOn(loads, server).Running == sums[server].Running);
        RC_ASSERT(workOn(loads, server).PendingTokens == sums[server].PendingTokens);
      }
      RC_ASSERT(loads.Totals.size() <= 6U);
    }
  }));
}

// Guards against a node that counts for ever although it is silent.
BOOST_AUTO_TEST_CASE(SilentNodesExpire) {
  PeerLoads loads;
  Now now{TimePoint(1000s), WallTime(0s)};
  applyReport(loads, "n1", {{{"s", 1000, 3}}, {}}, now);
  now.Steady += PeerReportLifetime + PeerReportSweepPeriod;
  applyReport(loads, "n2", {{{"s", 10, 1}}, {}}, now);
  BOOST_TEST(workOn(loads, "s").Running == 1);
  BOOST_TEST(loads.Reports.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
