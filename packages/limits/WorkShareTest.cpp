#include "limits/WorkShare.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::limits;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(WorkShares)

// Guards against work of low priority that takes more than its part, or none, while others wait.
BOOST_AUTO_TEST_CASE(WorkTakesItsPartOfTheTime) {
  WorkShare share{.Fraction = 0.1};
  Duration used{0};
  Duration worked{0};
  while (used < 10s) {
    const Duration begin = used;
    const bool works = mayWork(share, used);
    used += works ? 300us : 70us;
    if (works) {
      worked += 300us;
      noteWork(share, begin, used);
    }
  }
  BOOST_TEST(std::chrono::duration<double>(worked).count() <= 1.0);
  BOOST_TEST(std::chrono::duration<double>(worked).count() > 0.95);
}

BOOST_AUTO_TEST_SUITE_END()
