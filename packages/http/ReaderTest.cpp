#include "http/Reader.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <utility>

using namespace chervil::http;

namespace {

RequestReader readAll(const std::string &text, const ReadLimits &limits = {}) {
  RequestReader reader(limits);
  (void)feed(reader, text);
  return reader;
}

const std::string Post = "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";

} // namespace

BOOST_AUTO_TEST_SUITE(HttpReader)

// Guards against a message that is read differently when its bytes arrive in other pieces.
BOOST_AUTO_TEST_CASE(PiecesDoNotMatter) {
  BOOST_TEST(rc::check([] {
    const std::string text = *rc::gen::element(
        Post, std::string("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n"));
    RequestReader reader({});
    std::string in;
    std::size_t at = 0;
    while (at < text.size()) {
      const auto n = std::min(text.size() - at, *rc::gen::inRange<std::size_t>(1, 9));
      in.append(text, at, n);
      at += n;
      in.erase(0, feed(reader, in));
    }
    RC_ASSERT(reader.State == ReadState::Done);
    RC_ASSERT(reader.Body == "hello");
    RC_ASSERT(in.empty());
  }));
}

// Guards against a second request that is hidden in the bytes of the first.
BOOST_AUTO_TEST_CASE(BytesBehindTheMessageStay) {
  RequestReader reader({});
  BOOST_TEST(feed(reader, Post + "GET / HTTP/1.1\r\n") == Post.size());
  BOOST_TEST((reader.State == ReadState::Done));
}

// Guards against request smuggling: two framings, two lengths, unknown encodings, bad chunks.
BOOST_AUTO_TEST_CASE(AmbiguousMessagesAreRejected) {
  for (const char *fields :
       {"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nContent-Length: 6\r\n", "Content-Length: 5\r\nContent-Length: 5\r\n",
        "Content-Length: 5x\r\n", "Content-Length: -1\r\n", "Transfer-Encoding: gzip\r\n",
        "Bad Name: x\r\n"}) {
    const auto reader =
        readAll("POST / HTTP/1.1\r\nHost: h\r\n" + std::string(fields) + "\r\nhello");
    BOOST_TEST((reader.State == ReadState::Failed), fields);
    BOOST_TEST(reader.ErrorStatus == 400);
  }
  const auto chunk =
      readAll("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n");
  BOOST_TEST((chunk.State == ReadState::Failed));
  // RFC 9112, section 5.2 allows to replace a line fold by spaces; no fold may be passed on.
  const auto fold = readAll("GET / HTTP/1.1\r\nHost: h\r\n Content-Length: 5\r\n\r\n");
  BOOST_TEST((fold.State == ReadState::Done));
  BOOST_TEST(fold.Head.Fields.size() == 1U);
  BOOST_TEST(*find(fold.Head.Fields, "Host") == "h Content-Length: 5");
}

// Guards against memory taken by a message above the limits, and against a wrong status for it.
BOOST_AUTO_TEST_CASE(LimitsHaveTheirStatus) {
  const ReadLimits limits{.HeaderBytes = 200, .BodyBytes = 4};
  const auto head = readAll("GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n", limits);
  BOOST_TEST((head.State == ReadState::Failed));
  BOOST_TEST(head.ErrorStatus == 431);
  const auto body = readAll(Post, limits);
  BOOST_TEST((body.State == ReadState::Failed));
  BOOST_TEST(body.ErrorStatus == 413);
}

// Guards against a response that was cut off and passes for a whole one.
BOOST_AUTO_TEST_CASE(ResponsesEndOnlyWhenComplete) {
  struct Case {
    const char *Text;
    bool Whole;
  };
  for (const Case &it : std::initializer_list<Case>{
           {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", false},
           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
           {"HTTP/1.1 200 OK\r\nContent-Le", false},
           {"HTTP/1.1 200 OK\r\n\r\nhello", true},
           {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true}}) {
    ResponseReader reader;
    (void)feed(reader, it.Text);
    feedEnd(reader);
    BOOST_TEST((reader.State == (it.Whole ? ReadState::Done : ReadState::Failed)), it.Text);
  }
}

// Guards against a response of unknown encoding that is refused only if its body arrives later.
BOOST_AUTO_TEST_CASE(UnknownEncodingsOfResponsesFail) {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n";
  for (const std::string &text : {head, head + "hello"}) {
    ResponseReader reader;
    (void)feed(reader, text);
    feedEnd(reader);
    BOOST_TEST((reader.State == ReadState::Failed), text);
    BOOST_TEST(reader.Body.empty());
  }
}

// Guards against a response that fails because its head arrives before its body, and against one
// whose head is reported only with the end of its body.
BOOST_AUTO_TEST_CASE(HeadMayArriveBeforeTheBody) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  ResponseReader apart;
  BOOST_TEST(feed(apart, head) == head.size());
  BOOST_TEST((apart.State == ReadState::Body));
  BOOST_TEST(feed(apart, "hello") == 5U);
  BOOST_TEST((apart.State == ReadState::Done));
  BOOST_TEST(apart.Body == "hello");
  ResponseReader partly;
  (void)feed(partly, head + "he");
  BOOST_TEST((partly.State == ReadState::Body));
  BOOST_TEST(partly.Body == "he");
}

// Guards against bytes that are no response and are taken for one.
BOOST_AUTO_TEST_CASE(GarbageFails) {
  ResponseReader reader;
  (void)feed(reader, "\x16\x03 not http at all\r\n\r\n");
  BOOST_TEST((reader.State == ReadState::Failed));
}

// Guards against arbitrary bytes that crash or hang a reader.
BOOST_AUTO_TEST_CASE(ArbitraryBytesNeverThrow) {
  BOOST_TEST(rc::check([] {
    std::string text = *rc::gen::element(Post, std::string("HTTP/1.1 200 OK\r\n\r\nx"));
    for (int i = *rc::gen::inRange(0, 6); i > 0; --i)
      text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    (void)readAll(text);
    ResponseReader reader;
    (void)feed(reader, text);
    feedEnd(reader);
  }));
}

// Guards against fields behind a body that pass for fields of the head, at a server or at a client.
BOOST_AUTO_TEST_CASE(TrailersAreNotKept) {
  const std::string body = "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\nX-Api-Key: k\r\n"
                           "Connection: close\r\n\r\n";
  const auto request = readAll("POST / HTTP/1.1\r\nHost: h\r\n" + body);
  BOOST_TEST((request.State == ReadState::Done));
  BOOST_TEST(request.Body == "b");
  BOOST_TEST(request.Head.Fields.size() == 2U);
  ResponseReader response;
  (void)feed(response, "HTTP/1.1 200 OK\r\n" + body);
  BOOST_TEST((response.State == ReadState::Done));
  BOOST_TEST(response.Head.Fields.size() == 1U);
}

/// Feeds `part` again and again until the reader is done or fails; returns the bytes that it has
/// left unread at most.
std::size_t feedEndlessly(RequestReader &reader, const std::string &part) {
  std::string in;
  std::size_t most = 0;
  for (int i = 0; i < 10'000 && reader.State == ReadState::Body; ++i) {
    in += part;
    in.erase(0, feed(reader, in));
    most = std::max(most, in.size());
  }
  return most;
}

// Guards against memory that grows with trailers, chunk extensions or the framing of empty chunks.
BOOST_AUTO_TEST_CASE(FramingIsBounded) {
  const ReadLimits limits{.HeaderBytes = 1000, .BodyBytes = 1 << 20};
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const auto &[begin, part] : {std::pair<std::string, std::string>("0\r\n", "T: v\r\n"),
                                    {"1;", "extension"},
                                    {"", "1;" + std::string(500, 'x') + "\r\nb\r\n"},
                                    {"000", "0"}}) {
    RequestReader reader(limits);
    (void)feed(reader, head);
    (void)feed(reader, begin);
    BOOST_TEST(feedEndlessly(reader, begin + part) <= 2 * limits.HeaderBytes, part);
    BOOST_TEST((reader.State == ReadState::Failed), part);
  }
}

// Guards against framing that is bounded only if it comes after the head in a read of its own.
BOOST_AUTO_TEST_CASE(FramingIsBoundedInOnePieceToo) {
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 3; ++i)
    text += "1;" + std::string(900, 'x') + "\r\nb\r\n";
  const auto reader = readAll(text + "0\r\n\r\n", {.HeaderBytes = 1000, .BodyBytes = 100});
  BOOST_TEST((reader.State == ReadState::Failed));
  BOOST_TEST(reader.ErrorStatus == 431);
}

// Guards against a legal body that is refused for its framing: chunks of one byte.
BOOST_AUTO_TEST_CASE(SingleByteChunksAreRead) {
  std::string text = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (int i = 0; i < 100'000; ++i)
    text += "1\r\nb\r\n";
  RequestReader reader({.HeaderBytes = 1000, .BodyBytes = 100'000});
  const std::size_t used = feed(reader, text);
  (void)feed(reader, text.substr(used) + "0\r\n\r\n");
  BOOST_TEST((reader.State == ReadState::Done));
  BOOST_TEST(reader.Body.size() == 100'000U);
  BOOST_TEST(reader.Body.capacity() <= 2U * 100'000U);
}

BOOST_AUTO_TEST_SUITE_END()
