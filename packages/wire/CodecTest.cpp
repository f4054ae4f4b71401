#include "wire/Codec.h"

#include "wire/Handshake.h"
#include "wire/MessageGen.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::wire;

namespace {

std::string payloadOf(const message::Message &m) { return encode(m).substr(PrefixSize); }

std::string pack(const std::function<void(msgpack::packer<detail::Sink> &)> &write) {
  detail::Sink sink;
  msgpack::packer<detail::Sink> out(sink);
  write(out);
  return sink.Bytes;
}

/// A payload with the fields of `payload` and one more at the end.
std::string withExtraField(const std::string &payload) {
  const msgpack::object_handle it = msgpack::unpack(payload.data(), payload.size());
  const auto &array = it.get().via.array;
  return pack([&](auto &out) {
    out.pack_array(array.size + 1);
    for (std::uint32_t i = 0; i < array.size; ++i)
      out.pack(array.ptr[i]);
    out.pack(std::string("from a newer version"));
  });
}

ResultCode codeOf(std::string_view payload) {
  const auto m = decode(payload);
  return m ? ResultCode::Ok : m.error().Code;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

// Guards against a field that is lost, reordered or narrowed by encoding; checks every message
// type.
BOOST_AUTO_TEST_CASE(EveryTypeRoundTrips) {
  for (std::size_t type = 0; type < std::variant_size_v<message::Message>; ++type) {
    BOOST_TEST(rc::check("type " + std::to_string(type), [type] {
      const message::Message m = messageOfType(type);
      const Result<message::Message> back = decode(payloadOf(m));
      RC_ASSERT(back.has_value());
      RC_ASSERT(equalFields(m, *back));
    }));
  }
}

// Guards against a handshake field that is lost and against a nonce that is altered by encoding.
BOOST_AUTO_TEST_CASE(HandshakeRoundTrips) {
  BOOST_TEST(rc::check([] {
    Hello hello;
    fillArbitrary(hello);
    const Result<Hello> back = decodeHello(encodeHello(hello).substr(PrefixSize));
    RC_ASSERT(back.has_value());
    RC_ASSERT(equalFields(hello, *back));
    RC_ASSERT(!decode(encodeHello(hello).substr(PrefixSize)).has_value());
    RC_ASSERT(!decodeAuth(encodeHello(hello).substr(PrefixSize)).has_value());
  }));
}

// Guards against a node that rejects the messages of a newer version, which may append fields.
BOOST_AUTO_TEST_CASE(ExtraTrailingFieldsAreIgnored) {
  BOOST_TEST(rc::check([] {
    const message::Message m = *genMessage();
    const Result<message::Message> back = decode(withExtraField(payloadOf(m)));
    RC_ASSERT(back.has_value());
    RC_ASSERT(equalFields(m, *back));
  }));
  // The same for a struct inside a message.
  const std::string nested = pack([](auto &out) {
    out.pack_array(3);
    out.pack(12);
    out.pack_array(3);
    out.pack(std::string("acme"));
    out.pack(std::string("key"));
    out.pack(std::string("new member"));
    out.pack(7);
  });
  const Result<message::Message> m = decode(nested);
  BOOST_REQUIRE(m.has_value());
  BOOST_TEST(std::get<message::FinishReply>(*m).Key.Key == "key");
  BOOST_TEST(std::get<message::FinishReply>(*m).Run == 7U);
}

// Guards against a truncated frame that is accepted as a shorter message.
BOOST_AUTO_TEST_CASE(EveryTruncationIsRejected) {
  BOOST_TEST(rc::check([] {
    const std::string payload = payloadOf(*genMessage());
    for (std::size_t n = 0; n < payload.size(); ++n)
      RC_ASSERT(codeOf(std::string_view(payload).substr(0, n)) == ResultCode::PeerBadFrame);
  }));
}

// Guards against accepting bytes after a message: a faulty sender's data would be lost silently.
BOOST_AUTO_TEST_CASE(TrailingBytesAreRejected) {
  BOOST_TEST(rc::check([] {
    RC_ASSERT(codeOf(payloadOf(*genMessage()) + *rc::gen::arbitrary<char>()) ==
              ResultCode::PeerBadFrame);
  }));
}

// Guards against a crash or an exception on corrupted frames. A frame that still decodes must
// survive another round trip.
BOOST_AUTO_TEST_CASE(BitFlipsNeverThrow) {
  BOOST_TEST(rc::check([] {
    std::string payload = payloadOf(*genMessage());
    const int flips = *rc::gen::inRange(1, 5);
    for (int i = 0; i < flips; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, payload.size() * 8);
      payload[at / 8] = static_cast<char>(payload[at / 8] ^ (1 << (at % 8)));
    }
    const Result<message::Message> m = decode(payload);
    if (m)
      RC_ASSERT(equalFields(*m, *decode(payloadOf(*m))));
  }));
}

// Guards against a crash or an exception on random bytes.
BOOST_AUTO_TEST_CASE(RandomBytesNeverThrow) {
  BOOST_TEST(rc::check([] {
    const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    (void)decode(bytes);
    (void)decodeHello(bytes);
    (void)decodeAuth(bytes);
  }));
}

// Guards against accepting payloads that are valid msgpack but not a valid message, one case for
// each kind of error.
BOOST_AUTO_TEST_CASE(WrongContentIsRejected) {
  const auto type = [](auto n, auto... values) {
    return pack([&](auto &out) {
      out.pack_array(1 + sizeof...(values));
      out.pack(n);
      (out.pack(values), ...);
    });
  };
  // TableAck is type 22: shard (32 bits), epoch, index, stored.
  BOOST_TEST((codeOf(type(22, 1, 2, 3, true)) == ResultCode::Ok));
  BOOST_TEST((codeOf(type(22, 1, 2, 3)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(22, 1, 2, 3, 1)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(22, -1, 2, 3, true)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(22, std::uint64_t{1} << 32, 2, 3, true)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(22, std::string("1"), 2, 3, true)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(std::variant_size_v<message::Message>, 1)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(~std::uint64_t{0}, 1)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(-1, 1)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(std::string("22"), 1, 2, 3, true)) == ResultCode::PeerBadFrame));
  // BackendStatus is type 26; its factor must be finite. CrashReport is type 25.
  const std::string name = "e1";
  BOOST_TEST((codeOf(type(26, name, 1, 1.5, false, 1)) == ResultCode::Ok));
  BOOST_TEST((codeOf(type(26, name, 1, HUGE_VAL, false, 1)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(26, name, 1, 1.5, false)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(26, name, 1, NAN, false, 1)) == ResultCode::PeerBadFrame));
  const std::vector<std::string> none;
  BOOST_TEST((codeOf(type(25, 1, none, 5, false, false, 0, false)) == ResultCode::Ok));
  BOOST_TEST((codeOf(type(25, 1, none, ~std::uint64_t{0}, false, false, 0, false)) ==
              ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(25, 1, none, -5, false, false, 0, false)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(25, 1, none, 5, false, false, -1, false)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(type(25, 1, none, 5, false, false, 0)) == ResultCode::PeerBadFrame));
  // An enumerator beyond the last value: SubmitReply (type 7) with its decision out of range.
  const std::vector<std::string> key = {"c", "k"};
  BOOST_TEST((codeOf(type(7, key, 1, 2, 0, 0, 0, 0)) == ResultCode::Ok));
  BOOST_TEST((codeOf(type(7, key, 1, 3, 0, 0, 0, 0)) == ResultCode::PeerBadFrame));
  // The same for the kind of BackendDeparture (type 44).
  BOOST_TEST((codeOf(type(44, name, 1, 2, name, 0, 1, 1)) == ResultCode::Ok));
  BOOST_TEST((codeOf(type(44, name, 1, 3, name, 0, 1, 1)) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf("") == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(pack([](auto &out) { out.pack_array(0); })) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(pack([](auto &out) { out.pack_map(0); })) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(std::string(MaxPayloadSize + 1, '\x91')) == ResultCode::PeerTooLarge));
}

// Guards against gigabytes allocated for the sizes that a few bytes declare, and against a stack
// overflow from deep nesting.
BOOST_AUTO_TEST_CASE(DeclaredSizesDoNotAllocate) {
  BOOST_TEST(
      (codeOf(std::string("\x93\x00\x01\xdd\xff\xff\xff\xff", 8)) == ResultCode::PeerBadFrame));
  std::string nested;
  for (int i = 0; i < 200'000; ++i)
    nested += std::string("\xdd\x00\x03\x00\x00", 5);
  BOOST_TEST((codeOf(nested) == ResultCode::PeerBadFrame));
  BOOST_TEST((codeOf(std::string(MaxPayloadSize, '\x91')) == ResultCode::PeerBadFrame));
}

BOOST_AUTO_TEST_SUITE_END()
