#include "testing/standin/OrderBook.h"

#include <boost/test/unit_test.hpp>

using namespace chervil::standin;

BOOST_AUTO_TEST_SUITE(OrderBooks)

// Guards against an engine that obeys the holder of an expired lease although it checks fencing.
BOOST_AUTO_TEST_CASE(OldFencingNumberIsRefusedOnlyWhenChecked) {
  OrderBook book;
  BOOST_TEST((receiveOrder(book, {"o1", 7, "set_role"}, true) == OrderReply::New));
  BOOST_TEST((receiveOrder(book, {"o2", 6, "set_role"}, true) == OrderReply::OldFencing));
  BOOST_TEST((receiveOrder(book, {"o2", 7, "set_role"}, true) == OrderReply::New));
  BOOST_TEST((receiveOrder(book, {"o1", 3, "set_role"}, true) == OrderReply::Known));
  BOOST_TEST((receiveOrder(book, {"o3", 6, "set_role"}, false) == OrderReply::New));
  BOOST_TEST(book.HighestFencing == 7U);
  BOOST_TEST(book.Refused == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
