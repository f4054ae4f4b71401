#include "fleet/Migration.h"

#include "base/Random.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <map>

using namespace chervil;
using namespace chervil::fleet;
using namespace std::chrono_literals;

namespace {

LeavingStream stream(std::uint64_t id, double remaining, double context, double bytes,
                     Duration deadline) {
  LeavingStream s;
  s.Id = id;
  s.RemainingTokens = remaining;
  s.ContextTokens = context;
  s.KvBytes = bytes;
  s.Deadline = TimePoint(deadline);
  return s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Migrating)

// Guards against moving streams that finish in time, and against recomputing what an export moves
// faster.
BOOST_AUTO_TEST_CASE(EachStreamTakesTheCheapestWay) {
  MigrationRates rates;
  rates.ExportBytesPerSecond = 5e9;
  const std::vector<LeavingStream> streams = {
      stream(1, 20, 8000, 1e9, 10s),
      stream(2, 5000, 16000, 2e9, 20s),
      stream(3, 5000, 200, 1e9, 30s),
  };
  const auto plan = planMigration(streams, 5s, rates);
  BOOST_REQUIRE(plan.size() == 3U);
  BOOST_TEST((plan[0].Kind == MigrationKind::FinishInPlace));
  BOOST_TEST((plan[1].Kind == MigrationKind::ExportKv));
  BOOST_TEST((plan[2].Kind == MigrationKind::ContinueFromTokens));
  rates.ExportBytesPerSecond = 0;
  BOOST_TEST((planMigration(streams, 5s, rates)[1].Kind == MigrationKind::ContinueFromTokens));
}

// Guards against lost streams, a plan in the wrong order, and exports that do not finish before the
// VM ends.
BOOST_AUTO_TEST_CASE(PlanIsCompleteOrderedAndInTime) {
  const bool ok = rc::check("any streams", [] {
    chervil::Random rng(*rc::gen::arbitrary<std::uint64_t>());
    const auto n = *rc::gen::inRange<std::size_t>(0, 40);
    const Duration left = std::chrono::milliseconds(*rc::gen::inRange(0, 30000));
    MigrationRates rates;
    rates.ExportBytesPerSecond = static_cast<double>(rng() % 5) * 1e9;
    std::vector<LeavingStream> streams;
    std::map<std::uint64_t, LeavingStream> byId;
    for (std::size_t i = 0; i < n; ++i) {
      streams.push_back(
          stream(i, static_cast<double>(rng() % 4000), static_cast<double>(rng() % 30000),
                 static_cast<double>(rng() % 4000) * 1e6, std::chrono::seconds(rng() % 50)));
      byId[i] = streams.back();
    }
    const auto plan = planMigration(streams, left, rates);
    RC_ASSERT(plan.size() == n);
    TimePoint last{};
    Duration exported{0};
    for (const MigrationStep &step : plan) {
      RC_ASSERT(byId.contains(step.Id));
      const LeavingStream s = byId.at(step.Id);
      byId.erase(step.Id);
      RC_ASSERT(s.Deadline >= last);
      last = s.Deadline;
      if (step.Kind == MigrationKind::ExportKv) {
        RC_ASSERT(step.Ready <= left);
        RC_ASSERT(step.Start >= exported);
        exported = step.Ready;
      }
      if (step.Kind == MigrationKind::FinishInPlace)
        RC_ASSERT(s.RemainingTokens * 0.025 <= std::chrono::duration<double>(left).count());
    }
  });
  BOOST_TEST(ok);
}

BOOST_AUTO_TEST_SUITE_END()
