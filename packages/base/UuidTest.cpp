#include "base/Uuid.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;

BOOST_AUTO_TEST_SUITE(Uuid)

// Guards against a key that proves a wrong age after a shard was lost.
BOOST_AUTO_TEST_CASE(TimeSurvivesTheTextForm) {
  Random rng(7);
  const WallTime now(std::chrono::milliseconds(1764800000123));
  const std::string text = makeUuid7(now, rng);
  BOOST_TEST(text.size() == 36U);
  const auto t = uuid7Time(text);
  BOOST_REQUIRE(t.has_value());
  BOOST_TEST(t->time_since_epoch().count() == now.time_since_epoch().count());
}

// Guards against taking an arbitrary key or another UUID version for a dated one.
BOOST_AUTO_TEST_CASE(OtherTextsHaveNoTime) {
  BOOST_TEST(!uuid7Time("order-17").has_value());
  BOOST_TEST(!uuid7Time("01890a5d-ac96-474b-b5ca-0e02b2c3d479").has_value());
  BOOST_TEST(!uuid7Time("01890a5d-ac96-774b-b5ca-0e02b2c3d47z").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
