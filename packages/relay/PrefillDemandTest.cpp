#include "relay/PrefillDemand.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;

namespace {

Now at(Duration d) { return {TimePoint(1000s + d), WallTime(1000s)}; }

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPrefillDemand)

// Guards against sizing the fleet for outdated load or for a short burst.
BOOST_AUTO_TEST_CASE(RateFollowsTheLoad) {
  PrefillDemand d;
  for (auto t = 0ms; t < 20s; t += 100ms)
    onPromptSent(d, 5000, at(t));
  BOOST_TEST(prefillTokensPerSecond(d, at(20s)) > 45'000);
  BOOST_TEST(prefillTokensPerSecond(d, at(20s)) < 55'000);
  BOOST_TEST(prefillTokensPerSecond(d, at(32s)) < 5'000);
}

// Guards against underestimating the speed of servers that were busy or slowed down for a moment.
BOOST_AUTO_TEST_CASE(SpeedFollowsTheFastSamples) {
  PrefillDemand d;
  onPrefillDone(d, 100, 10ms);
  BOOST_TEST(d.PrefillTokensPerMs == 0);
  for (int i = 0; i < 200; ++i)
    onPrefillDone(d, 10'000, i % 3 == 0 ? 160ms : 400ms);
  BOOST_TEST(d.PrefillTokensPerMs > 50);
  BOOST_TEST(d.PrefillTokensPerMs < 65);
}

// Guards against ordering too few servers after a prompt that the server had cached without the
// node's knowledge: it looks many times faster than the server reads.
BOOST_AUTO_TEST_CASE(SpeedIgnoresPromptsThatWereCached) {
  PrefillDemand d;
  onPrefillDone(d, 13'000, 36ms);
  BOOST_TEST(d.PrefillTokensPerMs == 0);
  for (int i = 0; i < 400; ++i) {
    const bool wasCached = i % 25 == 24;
    onPrefillDone(d, 10'000, wasCached ? 27ms : i % 3 == 0 ? 200ms : 400ms);
    if (i > 0)
      BOOST_TEST(d.PrefillTokensPerMs < 65);
  }
  BOOST_TEST(d.PrefillTokensPerMs > 45);
  BOOST_TEST(d.PrefillTokensPerMs < 55);
}

BOOST_AUTO_TEST_SUITE_END()
