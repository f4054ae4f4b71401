#include "http/TestNet.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::http;
using namespace chervil::http::test;
using namespace std::chrono_literals;

namespace {

struct Fixture : ListeningNet {
  ClientPtr It = makeClient(EventLoop, Timers, {});
  std::vector<End> Ends;
  std::vector<int> Statuses;
  std::string Body;

  std::uint64_t call(std::function<bool(const ResponseHead &)> accepts = {}, Call what = {}) {
    what.Address = Address;
    what.Head = {"POST", "/x", {{"Id", "1"}}};
    what.Body = "body";
    return startCall(*It, std::move(what),
                     {.Accepts = std::move(accepts),
                      .OnHead = [this](const ResponseHead &h) { Statuses.push_back(h.Status); },
                      .OnData = [this](std::string_view bytes) { Body += bytes; },
                      .OnEnd = [this](const End &end) { Ends.push_back(end); }});
  }

  bool ends(std::size_t n = 1) {
    return runUntil([&] { return Ends.size() == n; });
  }
};

const std::string Answer = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClient)

// Guards against a request that is sent twice by the client itself: libcurl repeats one when a kept
// connection closes before the answer.
BOOST_AUTO_TEST_CASE(NothingIsRepeatedOnAKeptConnection) {
  Fixture f;
  f.call();
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "body"));
  sendText(fd, Answer);
  BOOST_TEST(f.ends());
  f.call();
  BOOST_TEST(f.gets(fd, "body"));
  close(fd);
  BOOST_TEST(f.ends(2));
  BOOST_TEST((f.Ends[1].Failure == Failure::Broken));
  BOOST_TEST(f.Ends[1].Reused);
  BOOST_TEST(!f.runUntil([&] { return accept(f.Listener, nullptr, nullptr) >= 0; }, 100ms));
}

// Guards against an answer of an earlier request that is taken for the present one.
BOOST_AUTO_TEST_CASE(LateAdditionalAnswerIsIgnored) {
  Fixture f;
  f.call([](const ResponseHead &h) { return *find(h.Fields, "Id") == "1"; });
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "body"));
  sendText(fd, "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 5\r\n\r\nother" + Answer);
  BOOST_TEST(f.ends());
  BOOST_TEST((f.Ends[0].Failure == Failure::None));
  BOOST_TEST(f.Body == "ok");
  BOOST_TEST(counters(*f.It).IgnoredResponses == 1U);
  close(fd);
}

// Guards against bytes behind a complete answer that reach the next call on the connection.
BOOST_AUTO_TEST_CASE(BytesBehindAnAnswerEndTheConnection) {
  Fixture f;
  f.call();
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "body"));
  sendText(fd, Answer + "extra");
  BOOST_TEST(f.ends());
  BOOST_TEST((f.Ends[0].Failure == Failure::None));
  f.call();
  BOOST_TEST(f.take() >= 0);
  close(fd);
}

// Guards against an answer that was cut off and is reported as whole.
BOOST_AUTO_TEST_CASE(CutAnswersAreBroken) {
  for (const char *text : {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 20", "",
                           "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n",
                           "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Le",
                           "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r"}) {
    Fixture f;
    f.call();
    const int fd = f.take();
    BOOST_TEST(f.gets(fd, "body"));
    sendText(fd, text);
    close(fd);
    BOOST_TEST(f.ends());
    BOOST_TEST((f.Ends[0].Failure == Failure::Broken), text);
  }
}

// Guards against an answer without length whose connection is reset and that passes for whole.
BOOST_AUTO_TEST_CASE(ResetIsNoEndOfAnAnswerWithoutLength) {
  Fixture f;
  f.call();
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "body"));
  sendText(fd, "HTTP/1.1 200 OK\r\n\r\nok");
  BOOST_TEST(f.runUntil([&] { return f.Body == "ok"; }));
  resetConnection(fd);
  BOOST_TEST(f.ends());
  BOOST_TEST((f.Ends[0].Failure == Failure::Broken));
}

// Guards against "may have run" for a request of which no byte was sent.
BOOST_AUTO_TEST_CASE(RefusedConnectionSentNothing) {
  Fixture f;
  close(f.Listener);
  f.call();
  BOOST_TEST(f.ends());
  BOOST_TEST((f.Ends[0].Failure == Failure::NotSent));
  f.Listener = -1;
}

// Guards against a call that waits forever on a connection that went silent.
BOOST_AUTO_TEST_CASE(SilenceEndsWithTheTimeout) {
  Fixture f;
  f.call({}, {.Timeout = 100ms});
  const int fd = f.take();
  BOOST_TEST(f.ends());
  BOOST_TEST((f.Ends[0].Failure == Failure::Timeout));
  close(fd);
}

// Guards against a request that the kernel goes on to send after its call was given up: a server
// that was out of reach then gets it late.
BOOST_AUTO_TEST_CASE(IncompleteCallCanResetItsConnection) {
  for (const bool resets : {true, false}) {
    Fixture f;
    f.call({}, {.Timeout = 100ms, .ResetIfIncomplete = resets});
    const int fd = f.take();
    BOOST_TEST(f.gets(fd, "body"));
    BOOST_TEST(f.ends());
    int error = 0;
    BOOST_TEST(f.runUntil(
        [&] {
          char byte = 0;
          const ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);
          error = n < 0 ? errno : 0;
          return n == 0 || (n < 0 && errno != EAGAIN);
        },
        500ms));
    BOOST_TEST((error == ECONNRESET) == resets);
    close(fd);
  }
}

// Guards against an idle connection that is reset, with answers that are still to be read.
BOOST_AUTO_TEST_CASE(CompleteCallClosesItsConnectionInOrder) {
  Fixture f;
  f.call({}, {.ResetIfIncomplete = true});
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "body"));
  sendText(fd, Answer);
  BOOST_TEST(f.ends());
  forgetAddress(*f.It, f.Address);
  BOOST_TEST(f.runUntil([&] { return isClosed(fd); }, 500ms));
  char byte = 0;
  BOOST_TEST(recv(fd, &byte, 1, MSG_DONTWAIT) == 0);
  close(fd);
}

// Guards against a request that is sent after the bound of its call, by a process that was
// suspended between the decision and the write.
BOOST_AUTO_TEST_CASE(OverdueRequestIsNotSent) {
  Fixture f;
  f.call({}, {.Timeout = 50ms});
  usleep(100'000);
  BOOST_TEST(f.ends());
  BOOST_TEST((f.Ends[0].Failure == Failure::NotSent));
  const int fd = accept(f.Listener, nullptr, nullptr);
  BOOST_TEST(!f.runUntil([&] { return fd >= 0 && !receiveText(fd).empty(); }, 100ms));
  close(fd);
}

// Guards against a cancelled call that the server goes on working for.
BOOST_AUTO_TEST_CASE(CancelClosesTheConnection) {
  Fixture f;
  const std::uint64_t id = f.call();
  const int fd = f.take();
  BOOST_TEST(f.gets(fd, "body"));
  cancelCall(*f.It, id);
  BOOST_TEST(f.runUntil([&] { return isClosed(fd); }, 500ms));
  BOOST_TEST(f.Ends.empty());
  close(fd);
}

BOOST_AUTO_TEST_SUITE_END()
