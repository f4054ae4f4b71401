// Servers whose answers are broken: none may be reported as an answer.
#include "http/TestNet.h"
#include "net/TestAnswers.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::http;
using namespace chervil::http::test;
using namespace std::chrono_literals;

namespace {

// Larger than the buffers of the sockets on both ends.
constexpr std::size_t LongBody = 16U << 20U;
// Fits into the buffers of the sender's socket, but not into those of the server.
constexpr std::size_t BufferedBody = 256U << 10U;
const std::string EarlyAnswer = "HTTP/1.1 200 OK\r\n\r\npart";

struct Fixture : ListeningNet {
  ClientPtr It = makeClient(EventLoop, Timers, {});
  std::vector<int> Statuses;
  ResponseHead Head;
  std::string Body;
  std::vector<End> Ends;

  void call(std::string body = "body") {
    startCall(*It, {.Address = Address, .Head = {"POST", "/x", {}}, .Body = std::move(body)},
              {.Accepts = {},
               .OnHead =
                   [this](const ResponseHead &head) {
                     Statuses.push_back(head.Status);
                     Head = head;
                   },
               .OnData = [this](std::string_view bytes) { Body += bytes; },
               .OnEnd = [this](const End &end) { Ends.push_back(end); }});
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
void refuseAll(const std::vector<net::test::TestAnswer> &answers) {
  for (const net::test::TestAnswer &it : answers) {
    BOOST_TEST_CONTEXT(it.What) {
      Fixture f;
      f.answer(it.Bytes);
      BOOST_REQUIRE(f.Ends.size() == 1U);
      BOOST_TEST((f.Ends[0].Failure == Failure::Malformed));
      BOOST_TEST(f.Statuses.empty());
      BOOST_TEST(f.Body == "");
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpBrokenAnswers)

// Guards against a server that ends as it begins its answer and passes for one that has written
// nothing, and against bytes of other answers that pass for such a beginning.
BOOST_AUTO_TEST_CASE(EndInsideTheHeadIsTold) {
  const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: 1\r\nContent-Length: 2\r\n\r\n";
  const std::string whole = head + "ok";
  for (std::size_t n = 0; n < whole.size(); ++n) {
    Fixture f;
    f.answer(whole.substr(0, n));
    BOOST_REQUIRE(f.Ends.size() == 1U);
    BOOST_TEST((f.Ends[0].Failure == Failure::Broken));
    BOOST_TEST(f.Ends[0].EndedInHead == (n > 0 && n < head.size()), n);
  }
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::string other = "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 2\r\n\r\nno";
  for (const auto &[bytes, began] : {std::pair(interim, true), std::pair(interim + "HT", true),
                                     std::pair(other, false), std::pair(other + "HT", true)}) {
    Fixture f;
    startCall(*f.It, {.Address = f.Address, .Head = {"GET", "/x", {}}},
              {.Accepts = [](const ResponseHead &it) { return !find(it.Fields, "X-Other"); },
               .OnHead = {},
               .OnData = {},
               .OnEnd = [&](const End &end) { f.Ends.push_back(end); }});
    const int fd = f.take();
    BOOST_TEST(f.gets(fd, "\r\n\r\n"));
    sendText(fd, bytes);
    close(fd);
    BOOST_TEST(f.runUntil([&] { return f.Ends.size() == 1; }));
    BOOST_TEST(f.Ends[0].EndedInHead == began, bytes);
  }
}

// Guards against a status that no server may send and that is reported as an answer.
BOOST_AUTO_TEST_CASE(InvalidStatusIsNoAnswer) { refuseAll(net::test::answersOfInvalidStatus()); }

// Guards against what follows a change of the protocol and is reported as an answer: no call asks
// for another protocol.
BOOST_AUTO_TEST_CASE(ChangeOfProtocolIsNoAnswer) { refuseAll(net::test::changesOfProtocol()); }

// Guards against a line of a head that is passed on, or ignored so that another body is read,
// because its name holds a blank or a control byte.
BOOST_AUTO_TEST_CASE(InvalidFieldNameIsNoAnswer) { refuseAll(net::test::answersOfInvalidNames()); }

// The same for a control byte in a value.
BOOST_AUTO_TEST_CASE(InvalidFieldValueIsNoAnswer) {
  refuseAll(net::test::answersOfInvalidValues());
}

// Guards against a check that refuses what a sound server may send.
BOOST_AUTO_TEST_CASE(UnusualFieldsAreRead) {
  Fixture f;
  f.answer(net::test::unusualAnswer());
  BOOST_REQUIRE(f.Ends.size() == 1U);
  BOOST_TEST((f.Ends[0].Failure == Failure::None));
  BOOST_TEST(f.Body == "ok");
  BOOST_REQUIRE(f.Head.Fields.size() == 4U);
  BOOST_TEST(f.Head.Fields[0].second == "a\tb\xe9");
  BOOST_TEST(f.Head.Fields[1].second == "");
  BOOST_TEST(f.Head.Fields[2].second == "a b: c");
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
      BOOST_TEST((f.Ends[0].Failure == Failure::Broken));
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
      BOOST_TEST((f.Ends[0].Failure == Failure::Broken));
    }
}

// Guards against a sound answer that is given up: its server ends it early, and then reads on.
BOOST_AUTO_TEST_CASE(EarlyAnswerIsWholeOnceTheRequestIsReceived) {
  for (const std::size_t size : {LongBody, BufferedBody}) {
    Fixture f;
    const int fd = f.answerEarly(size);
    (void)shutdown(fd, SHUT_WR);
    BOOST_TEST(f.runUntil([&] { return f.Body == "part"; }));
    setReceiveBuffer(fd, 4 << 20);
    std::string received;
    BOOST_TEST(f.runUntil([&] {
      received += receiveText(fd);
      return !f.Ends.empty();
    }));
    BOOST_REQUIRE(f.Ends.size() == 1U);
    BOOST_TEST((f.Ends[0].Failure == Failure::None));
    BOOST_TEST(f.Ends[0].EndedByClose);
    // The rest is in the server's buffer.
    for (std::string rest; !(rest = receiveText(fd)).empty();)
      received += rest;
    BOOST_TEST(received.ends_with("end"));
    close(fd);
  }
}

BOOST_AUTO_TEST_SUITE_END()
