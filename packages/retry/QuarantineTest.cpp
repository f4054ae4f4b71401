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

// Guards against a quarantine after one back end, counted twice, or one that ends early or never.
BOOST_AUTO_TEST_CASE(TwoDifferentBackendsQuarantineForTenMinutes) {
  Quarantine q;
  BOOST_TEST((standing(q, 7, at(0s)) == Standing::Clear));
  onBackendDied(q, 7, "e1", at(0s));
  onBackendDied(q, 7, "e1", at(1s));
  BOOST_TEST((standing(q, 7, at(1s)) == Standing::Suspect));
  const auto report = onBackendDied(q, 7, "e2", at(9min));
  BOOST_TEST((report.Lifetime == 10min));
  BOOST_TEST((standing(q, 7, at(18min + 59s)) == Standing::Quarantined));
  BOOST_TEST((standing(q, 8, at(9min)) == Standing::Clear));
  BOOST_TEST((standing(q, 7, at(19min)) == Standing::Clear));
  onBackendDied(q, 7, "e3", at(20min));
  BOOST_TEST((standing(q, 7, at(20min)) == Standing::Suspect));
  prune(q, at(31min));
  BOOST_TEST(q.Deaths.empty());
}

// Guards against nodes that disagree because reports reached them in another order or twice.
BOOST_AUTO_TEST_CASE(MergeIsCommutativeAndIdempotent) {
  BOOST_TEST(rc::check("merge", [](const std::vector<std::pair<std::uint8_t, std::uint16_t>>
                                       &deaths,
                                   std::uint64_t seed) {
    std::vector<message::CrashReport> all;
    all.reserve(deaths.size());
    for (const auto &[backend, ms] : deaths)
      all.push_back({backend % 3U, {"e" + std::to_string(backend)}, std::chrono::milliseconds(ms)});
    Quarantine a;
    Quarantine b;
    for (const auto &it : all)
      onCrashReport(a, it, at(0s));
    Random rng(seed);
    std::ranges::shuffle(all, rng);
    for (int i = 0; i < 2; ++i)
      for (const auto &it : all)
        onCrashReport(b, it, at(0s));
    RC_ASSERT(a.Deaths == b.Deaths);
    for (const auto &it : reports(a, at(0s)))
      RC_ASSERT(!onCrashReport(b, it, at(0s)));
  }));
}

// Guards against unbounded memory.
BOOST_AUTO_TEST_CASE(EntriesAreBounded) {
  Quarantine q;
  for (std::uint64_t i = 0; i < MaxEntries + 10; ++i)
    onBackendDied(q, i, "e", at(std::chrono::milliseconds(i)));
  BOOST_TEST(q.Deaths.size() == MaxEntries);
  BOOST_TEST(!q.Deaths.contains(0));
}

BOOST_AUTO_TEST_SUITE_END()
