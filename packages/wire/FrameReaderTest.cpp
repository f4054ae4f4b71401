#include "wire/FrameReader.h"

#include "wire/MessageGen.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::wire;

BOOST_AUTO_TEST_SUITE(FrameReading)

// Guards against frames that are lost, merged or reordered when the stream arrives in pieces of
// arbitrary size.
BOOST_AUTO_TEST_CASE(PiecesOfAnySizeGiveTheSameFrames) {
  BOOST_TEST(rc::check([] {
    std::vector<std::string> frames;
    std::string stream;
    const int n = *rc::gen::inRange(1, 6);
    for (int i = 0; i < n; ++i) {
      frames.push_back(encode(*genMessage()));
      stream += frames.back();
    }
    FrameReader reader;
    std::vector<std::string> taken;
    while (!stream.empty()) {
      const auto size = *rc::gen::inRange<std::size_t>(1, stream.size() + 1);
      feed(reader, std::string_view(stream).substr(0, size));
      stream.erase(0, size);
      for (auto it = *takeFrame(reader); it; it = *takeFrame(reader))
        taken.emplace_back(*it);
    }
    RC_ASSERT(!hasPartialFrame(reader));
    RC_ASSERT(taken.size() == frames.size());
    for (std::size_t i = 0; i < taken.size(); ++i)
      RC_ASSERT(taken[i] == frames[i].substr(PrefixSize));
  }));
}

// Guards against waiting or allocating memory for a frame above the limit: the length prefix alone
// must lead to the error.
BOOST_AUTO_TEST_CASE(OversizedLengthIsRejectedFromItsPrefix) {
  for (const std::string_view prefix :
       {std::string_view("\xff\xff\xff\xff", 4), std::string_view("\x00\x10\x00\x01", 4)}) {
    FrameReader reader;
    feed(reader, prefix);
    for (int i = 0; i < 2; ++i) {
      const auto it = takeFrame(reader);
      BOOST_REQUIRE(!it.has_value());
      BOOST_TEST((it.error().Code == ResultCode::PeerTooLarge));
    }
  }
}

// Guards against off-by-one errors for a payload of exactly the limit and for an empty payload.
BOOST_AUTO_TEST_CASE(LimitItselfIsAccepted) {
  FrameReader reader;
  feed(reader, std::string("\x00\x10\x00\x00", 4) + std::string(MaxPayloadSize, 'x'));
  auto it = takeFrame(reader);
  BOOST_REQUIRE((it.has_value() && it->has_value()));
  BOOST_TEST((*it)->size() == MaxPayloadSize);
  feed(reader, std::string(4, '\0'));
  it = takeFrame(reader);
  BOOST_REQUIRE((it.has_value() && it->has_value()));
  BOOST_TEST((*it)->empty());
  BOOST_TEST(!takeFrame(reader)->has_value());
}

BOOST_AUTO_TEST_SUITE_END()
