#include "daemon/EventStreamReader.h"
#include "daemon/EventStreamWriter.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil::daemon;

BOOST_AUTO_TEST_SUITE(EventStream)

// Guards against bytes lost or changed by any cut of the stream, also inside a character.
BOOST_AUTO_TEST_CASE(WriterAndReaderAgreeForAnyCut) {
  const bool ok = rc::check("read(write(text)) == text", [] {
    std::string text;
    for (const auto &it :
         *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
             "a", "\"", "\n", "\xc3\xa7", "\xe2\x82\xac", "\xf0\x9f\x98\x80")))
      text += it;
    EventStreamWriter writer;
    writer.Key = "k";
    std::string out;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t n = *rc::gen::inRange<std::size_t>(1, 6);
      out += writeText(writer, at, text.substr(at, n));
      at += std::min(n, text.size() - at);
    }
    RC_ASSERT(writer.Offset == text.size());
    out += writeEnd(writer, 3);
    EventStreamReader reader;
    std::string read;
    bool done = false;
    for (std::size_t i = 0; i < out.size();) {
      const std::size_t n = *rc::gen::inRange<std::size_t>(1, 40);
      const StreamPart part = feed(reader, out.substr(i, n));
      RC_ASSERT(!part.Malformed);
      read += part.Text;
      done = done || part.Done;
      i += n;
    }
    RC_ASSERT(done);
    RC_ASSERT(read == text);
  });
  BOOST_TEST(ok);
}

// Guards against a stream without its terminator, or with bytes behind it, that passes for whole.
BOOST_AUTO_TEST_CASE(OnlyTheTerminatorEndsAnAnswer) {
  EventStreamReader reader;
  BOOST_TEST(!feed(reader, "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n").Done);
  BOOST_TEST(!reader.Done);
  BOOST_TEST(feed(reader, "data: [DONE]\n\n").Done);
  BOOST_TEST(feed(reader, "data: {}\n\n").Malformed);
  EventStreamReader other;
  BOOST_TEST(feed(other, "data: nonsense\n\n").Malformed);
}

BOOST_AUTO_TEST_SUITE_END()
