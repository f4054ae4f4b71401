#include "retry/Backoff.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil;
using namespace chervil::retry;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Backoffs)

// Guards against delays outside 50 ms to 5 s, and against a delay of more than three times the
// previous one.
BOOST_AUTO_TEST_CASE(DelaysStayInRange) {
  BOOST_TEST(rc::check("backoff", [](std::uint64_t seed) {
    Random rng(seed);
    Duration last{0};
    for (int i = 0; i < 50; ++i) {
      const Duration before = std::max(last, MinDelay);
      const Duration delay = nextDelay(last, rng);
      RC_ASSERT(delay == last);
      RC_ASSERT(delay >= 50ms);
      RC_ASSERT(delay <= std::min<Duration>(5s, 3 * before));
      RC_ASSERT(randomRetryAfter(rng) >= 1s);
    }
  }));
}

// Guards against Retry-After: 0, which makes callers retry at once.
BOOST_AUTO_TEST_CASE(RetryAfterIsInWholeSeconds) {
  BOOST_TEST(retryAfterSeconds(0s) == 1);
  BOOST_TEST(retryAfterSeconds(1001ms) == 2);
  BOOST_TEST(retryAfterSeconds(48h) == 3600);
}

BOOST_AUTO_TEST_SUITE_END()
