#include "relay/EventSplitter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil::relay;

BOOST_AUTO_TEST_SUITE(EventSplitting)

// Guards against lost or reordered bytes when events arrive in several chunks.
BOOST_AUTO_TEST_CASE(EventsAreCompleteForAnyChunking) {
  BOOST_TEST(rc::check([] {
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda";
    EventSplitter splitter;
    std::vector<std::string> events;
    for (std::size_t at = 0; at < text.size();) {
      const auto n = std::min(text.size() - at, *rc::gen::inRange<std::size_t>(1, 7));
      for (const std::string &it : splitEvents(splitter, std::string_view(text).substr(at, n)))
        events.push_back(it);
      at += n;
    }
    RC_ASSERT(events.size() == 3U);
    RC_ASSERT(eventId(events[0]) == "1");
    RC_ASSERT(eventId(events[1]) == "2");
    RC_ASSERT(eventId(events[2]).empty());
    RC_ASSERT(events[0] + events[1] + events[2] + splitter.Partial == text);
  }));
}

// Guards against delivering an event twice, and against comparing ids as text.
BOOST_AUTO_TEST_CASE(IdsUpToTheLastAreAlreadyDelivered) {
  BOOST_TEST(isAlreadyDelivered("9", "10"));
  BOOST_TEST(isAlreadyDelivered("10", "10"));
  BOOST_TEST(!isAlreadyDelivered("11", "10"));
  BOOST_TEST(!isAlreadyDelivered("x", "10"));
  BOOST_TEST(!isAlreadyDelivered("1", ""));
}

BOOST_AUTO_TEST_SUITE_END()
