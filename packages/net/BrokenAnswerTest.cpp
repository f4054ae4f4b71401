// Servers whose answers are broken: none may be reported as an answer.
#include "net/HttpClient.h"
#include "net/TestAnswers.h"
#include "net/TestNet.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::net;
using namespace chervil::net::test;
using namespace std::chrono_literals;

namespace {

// Larger than the buffers of the sockets on both ends.
constexpr std::size_t LongBody = 16U << 20U;
// Fits into the buffers of the sender's socket, but not into those of the server.
constexpr std::size_t BufferedBody = 256U << 10U;
const std::string EarlyAnswer = "HTTP/1.1 200 OK\r\n\r\npart";

struct Fixture : ListeningNet {
  HttpClientPtr Client = makeHttpClient(EventLoop, {});
  std::vector<int> Statuses;
  NamedValues Headers;
  std::string Body;
  std::vector<HttpEnd> Ends;

  void call(std::string body = "body") {
    startCall(*Client,
              {.Method = "POST", .Url = "http://" + Address + "/x", .Body = std::move(body)},
              {.OnHead =
                   [this](int status, const NamedValues &headers) {
                     Statuses.push_back(status);
                     Headers = headers;
                   },
               .OnData = [this](std::string_view bytes) { Body += bytes; },
               .OnEnd = [this](const HttpEnd &end) { Ends.push_back(end); }});
  }

  /// Sends `bytes` as the answer to a call and closes the connection.
  void answer(const std::string &bytes) {
    call();
    const int fd = take();
    BOOST_TEST(gets(fd, "body"));
    sendText(fd, bytes);
    close(fd);
    BOOST_TEST(runUntil([&] { return Ends.size() == 1; }));
  }

  /// Starts a call with a body of which the server takes only the beginning, and has it answered.
  /// Returns the server's end of the connection.
  int answerEarly(std::size_t bodySize) {
    setReceiveBuffer(Listener, 1);
    call(std::string(bodySize, 'b') + "end");
    const int fd = take();
    BOOST_TEST(gets(fd, "\r\n\r\n"));
    sendText(fd, EarlyAnswer);
    return fd;
  }
};

/// Checks that none of the answers is reported.
void refuseAll(const std::vector<TestAnswer> &answers) {
  for (const TestAnswer &it : answers) {
    BOOST_TEST_CONTEXT(it.What) {
      Fixture f;
      f.answer(it.Bytes);
      BOOST_REQUIRE(f.Ends.size() == 1U);
      BOOST_TEST((f.Ends[0].Failure == HttpFailure::Broken));
      BOOST_TEST(f.Ends[0].Status == 0);
      BOOST_TEST(f.Statuses.empty());
      BOOST_TEST(f.Body == "");
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(NetBrokenAnswers)

// Guards against a status that no server may send and that is reported as an answer.
BOOST_AUTO_TEST_CASE(InvalidStatusIsNoAnswer) { refuseAll(answersOfInvalidStatus()); }

// Guards against what follows a change of the protocol and is reported as an answer, or as one
// without a status: no call asks for another protocol.
BOOST_AUTO_TEST_CASE(ChangeOfProtocolIsNoAnswer) { refuseAll(changesOfProtocol()); }

// Guards against a line of a head that is passed on, or ignored so that another body is read,
// because its name holds a blank or a control byte.
BOOST_AUTO_TEST_CASE(InvalidFieldNameIsNoAnswer) { refuseAll(answersOfInvalidNames()); }

// The same for a control byte in a value.
BOOST_AUTO_TEST_CASE(InvalidFieldValueIsNoAnswer) { refuseAll(answersOfInvalidValues()); }

// Guards against a check that refuses what a sound server may send.
BOOST_AUTO_TEST_CASE(UnusualFieldsAreRead) {
  Fixture f;
  f.answer(unusualAnswer());
  BOOST_REQUIRE(f.Ends.size() == 1U);
  BOOST_TEST((f.Ends[0].Failure == HttpFailure::None));
  BOOST_TEST(f.Body == "ok");
  BOOST_REQUIRE(f.Headers.size() == 4U);
  BOOST_TEST(f.Headers[0].second == "a\tb\xe9");
  BOOST_TEST(f.Headers[1].second == "");
  BOOST_TEST(f.Headers[2].second == "a b: c");
}

// Guards against a line behind the body that is taken for a status: a success that is reported as a
// failure, or the reverse.
BOOST_AUTO_TEST_CASE(TrailerIsNoStatus) {
  Fixture f;
  f.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
           "HTTP/1.1 500 X: v\r\n\r\n");
  BOOST_REQUIRE(f.Ends.size() == 1U);
  BOOST_TEST((f.Ends[0].Failure == HttpFailure::None));
  BOOST_TEST(f.Ends[0].Status == 200);
  BOOST_TEST(f.Body == "ok");
}

// Guards against a part of an answer without length that passes for a whole one, because its server
// resets the connection while the request is still being written.
BOOST_AUTO_TEST_CASE(ResetDuringTheRequestIsNoEnd) {
  for (const std::size_t size : {LongBody, BufferedBody})
    for (const bool readsBefore : {true, false}) {
      Fixture f;
      const int fd = f.answerEarly(size);
      if (readsBefore)
        BOOST_TEST(f.runUntil([&] { return f.Body == "part"; }));
      resetConnection(fd);
      BOOST_TEST(f.runUntil([&] { return f.Ends.size() == 1; }));
      BOOST_REQUIRE(f.Ends.size() == 1U);
      BOOST_TEST((f.Ends[0].Failure == HttpFailure::Broken));
    }
}

// The same for a server that ends its answer first. The end of the answer arrives some time before
// the reset, or together with it.
BOOST_AUTO_TEST_CASE(EndBeforeAResetIsNoEnd) {
  for (const std::size_t size : {LongBody, BufferedBody})
    for (const auto gap : {50ms, 0ms}) {
      Fixture f;
      const int fd = f.answerEarly(size);
      (void)shutdown(fd, SHUT_WR);
      if (gap > 0ms)
        f.runUntil([&] { return !f.Ends.empty(); }, gap);
      resetConnection(fd);
      BOOST_TEST(f.runUntil([&] { return f.Ends.size() == 1; }));
      BOOST_REQUIRE(f.Ends.size() == 1U);
      BOOST_TEST((f.Ends[0].Failure == HttpFailure::Broken));
    }
}

// Guards against an answer without a body that is taken for one that ended early.
BOOST_AUTO_TEST_CASE(EarlyAnswerWithoutABodyIsWhole) {
  Fixture f;
  setReceiveBuffer(f.Listener, 1);
  f.call(std::string(BufferedBody, 'b'));
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "\r\n\r\n"));
  sendText(fd, "HTTP/1.1 204 No Content\r\n\r\n");
  BOOST_TEST(f.runUntil([&] { return f.Ends.size() == 1; }));
  BOOST_REQUIRE(f.Ends.size() == 1U);
  BOOST_TEST((f.Ends[0].Failure == HttpFailure::None));
  BOOST_TEST(f.Ends[0].Status == 204);
  close(fd);
}

BOOST_AUTO_TEST_SUITE_END()
