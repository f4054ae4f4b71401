#include "relay/EventProgress.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <string>

using namespace chervil::relay;

BOOST_AUTO_TEST_SUITE(RelayEventProgress)

// Guards against a stuck server that passes for a working one because it sends a byte, a comment or
// an empty event now and then.
BOOST_AUTO_TEST_CASE(OnlyDataIsProgress) {
  for (const char *text :
       {": still here\n\n", "\n", "\n\n", "data:\n\n", "data: \n\n", "event: x\n\n", "id: 7\n\n",
        "datum: x\n\n", "dat", "data: unfinished", ":data: x\n"}) {
    EventProgress progress;
    BOOST_TEST(!advance(progress, text), text);
  }
  for (const char *text : {"data: x\n", "data:x\r\n\r\n", "id: 7\ndata: x\n\n", ": c\ndata: x\n"}) {
    EventProgress progress;
    BOOST_TEST(advance(progress, text), text);
  }
}

// Guards against progress that depends on how the bytes arrive.
BOOST_AUTO_TEST_CASE(ChunkingDoesNotMatter) {
  BOOST_TEST(rc::check([](std::vector<std::uint8_t> sizes) {
    const std::string text = ": c\n\nid: 1\ndata: a\r\n\r\ndata:\n\nid: 2\ndata: bb\n\nda";
    EventProgress progress;
    unsigned count = 0;
    std::size_t at = 0;
    for (std::size_t i = 0; at < text.size(); ++i) {
      const std::size_t n = i < sizes.size() ? sizes[i] % 4U + 1U : 1;
      const bool progressed = advance(progress, std::string_view(text).substr(at, n));
      count += progressed ? 1 : 0;
      at += std::min(n, text.size() - at);
    }
    RC_ASSERT(count == 2U);
    RC_ASSERT(!progress.AtBoundary);
    advance(progress, "ta: c\n\n");
    RC_ASSERT(progress.AtBoundary);
  }));
}

BOOST_AUTO_TEST_SUITE_END()
