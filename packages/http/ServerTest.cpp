#include "http/TestNet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>

using namespace chervil;
using namespace chervil::http;
using namespace chervil::http::test;
using namespace std::chrono_literals;

namespace {

struct Fixture : Net {
  ServerPtr It;
  std::vector<Request> Requests;
  std::vector<std::uint64_t> Gone;
  std::vector<int> Rejected;
  std::vector<Shed> Turned;
  std::string Received;

  explicit Fixture(ServerOptions options = {}) {
    options.Address = "127.0.0.1:0";
    It = std::move(
        *startServer(EventLoop, Timers, options,
                     {.OnRequest = [this](Request &&r) { Requests.push_back(std::move(r)); },
                      .OnGone = [this](std::uint64_t id) { Gone.push_back(id); },
                      .OnRejected = [this](int status) { Rejected.push_back(status); },
                      .OnShed = [this](const std::string &, Shed s) { Turned.push_back(s); }}));
  }

  bool receives(int fd, const std::string &text) {
    return runUntil([&] {
      Received += receiveText(fd);
      return Received.find(text) != std::string::npos;
    });
  }
};

const std::string Get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServer)

// Guards against a caller that leaves unseen while its request waits, as libmicrohttpd's suspended
// connections let it.
BOOST_AUTO_TEST_CASE(CallerThatLeavesWhileWaitingIsSeen) {
  Fixture f;
  const int fd = connectPlain(port(*f.It));
  sendText(fd, Get);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  close(fd);
  BOOST_TEST(f.runUntil([&] { return f.Gone.size() == 1; }, 500ms));
  BOOST_TEST(f.Gone[0] == f.Requests[0].Id);
  respond(*f.It, f.Requests[0].Id, {.Body = "late"});
}

// Guards against a server that works in vain: a caller that shuts down its sending side cannot be
// told from one that closed, and is treated as gone, also while a stream is written to it.
BOOST_AUTO_TEST_CASE(HalfClosedCallerIsTakenForGone) {
  for (const bool streaming : {false, true}) {
    Fixture f;
    const int fd = connectPlain(port(*f.It));
    sendText(fd, Get);
    BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
    if (streaming) {
      beginStream(*f.It, f.Requests[0].Id, {.Body = "part"});
      BOOST_TEST(f.receives(fd, "part"));
    }
    shutdown(fd, SHUT_WR);
    BOOST_TEST(f.runUntil([&] { return f.Gone.size() == 1; }, 500ms));
    BOOST_TEST(f.runUntil([&] { return isClosed(fd); }));
    close(fd);
  }
}

// Guards against answers in the wrong order, or lost, when requests are sent ahead of answers.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreAnsweredInOrder) {
  Fixture f;
  const int fd = connectPlain(port(*f.It));
  sendText(fd, "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  respond(*f.It, f.Requests[0].Id, {.Body = "first"});
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 2; }));
  BOOST_TEST(f.Requests[1].Head.Target == "/2");
  respond(*f.It, f.Requests[1].Id, {.Body = "second"});
  BOOST_TEST(f.receives(fd, "second"));
  BOOST_TEST(f.Received.find("first") < f.Received.find("second"));
  close(fd);
}

// Guards against a stream that is cut off and looks complete.
BOOST_AUTO_TEST_CASE(AbortedStreamHasNoEnd) {
  Fixture f;
  const int fd = connectPlain(port(*f.It));
  sendText(fd, Get);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  beginStream(*f.It, f.Requests[0].Id, {.Body = "part"});
  BOOST_TEST(f.receives(fd, "part"));
  abort(*f.It, f.Requests[0].Id);
  BOOST_TEST(f.runUntil([&] { return isClosed(fd); }));
  BOOST_TEST(f.Received.find("0\r\n\r\n") == std::string::npos);
  BOOST_TEST(f.Gone.empty());
  close(fd);
}

// Guards against a message that cannot be read and is handed on, or leaves its connection open.
BOOST_AUTO_TEST_CASE(BadMessagesAreAnsweredAndClosed) {
  Fixture f;
  const int fd = connectPlain(port(*f.It));
  sendText(fd, "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx" + Get);
  BOOST_TEST(f.receives(fd, "HTTP/1.1 400"));
  BOOST_TEST(f.runUntil([&] { return isClosed(fd); }));
  BOOST_TEST(f.Requests.empty());
  BOOST_TEST(f.Rejected.size() == 1U);
  close(fd);
}

// Guards against connections that hold a place without sending a head.
BOOST_AUTO_TEST_CASE(SlowHeadsAreRejected) {
  ServerOptions options;
  options.Limits.HeaderTimeout = 100ms;
  Fixture f(options);
  const int fd = connectPlain(port(*f.It));
  sendText(fd, "GET / HTT");
  BOOST_TEST(f.receives(fd, "HTTP/1.1 408"));
  close(fd);
}

// Guards against memory that grows with a caller that takes nothing of its answer.
BOOST_AUTO_TEST_CASE(CallerThatTakesNothingIsCut) {
  ServerOptions options;
  options.MaxPendingStreamBytes = 100'000;
  Fixture f(options);
  const int fd = connectPlain(port(*f.It));
  sendText(fd, Get);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  beginStream(*f.It, f.Requests[0].Id, {});
  for (int i = 0; i < 1000 && f.Gone.empty(); ++i)
    writeStream(*f.It, f.Requests[0].Id, std::string(100'000, 'x'));
  BOOST_TEST(f.Gone.size() == 1U);
  close(fd);
}

// Guards against a planned stop that cuts a request which was being sent.
BOOST_AUTO_TEST_CASE(DrainingClosesAfterTheAnswer) {
  Fixture f;
  const int fd = connectPlain(port(*f.It));
  const int idle = connectPlain(port(*f.It));
  sendText(fd, Get);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1 && openConnections(*f.It) == 2; }));
  startDraining(*f.It);
  closeIdle(*f.It);
  BOOST_TEST(f.runUntil([&] { return isClosed(idle); }));
  respond(*f.It, f.Requests[0].Id, {.Body = "whole"});
  BOOST_TEST(f.receives(fd, "whole"));
  BOOST_TEST(f.Received.find("Connection: close") != std::string::npos);
  BOOST_TEST(f.runUntil([&] { return isClosed(fd); }));
  close(fd);
  close(idle);
}

// Guards against a planned stop that cuts requests which have arrived and have not been read: on a
// connection that is not accepted yet, and on an idle one.
BOOST_AUTO_TEST_CASE(ArrivedRequestsAreReadBeforeTheStop) {
  Fixture f;
  const int kept = connectPlain(port(*f.It));
  sendText(kept, Get);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  respond(*f.It, f.Requests[0].Id, {.Body = "first"});
  BOOST_TEST(f.receives(kept, "first"));
  const int fresh = connectPlain(port(*f.It));
  sendText(kept, Get);
  sendText(fresh, Get);
  startDraining(*f.It);
  stopListening(*f.It);
  closeIdle(*f.It);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 3; }, 1000ms));
  for (std::size_t i = 1; i < f.Requests.size(); ++i)
    respond(*f.It, f.Requests[i].Id, {.Body = "second"});
  BOOST_TEST(f.receives(kept, "second"));
  f.Received.clear();
  BOOST_TEST(f.receives(fresh, "second"));
  close(kept);
  close(fresh);
}

// Guards against a body that is read although it cannot be held, and against a refusal without the
// word that the request has not run.
BOOST_AUTO_TEST_CASE(RequestsThatDoNotFitAreRefusedBeforeTheirBody) {
  limits::MemoryBudget memory = limits::makeMemoryBudget(1'000'000);
  ServerOptions options;
  options.Memory = &memory;
  Fixture f(options);
  const int fd = connectPlain(port(*f.It));
  sendText(fd, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n");
  BOOST_TEST(f.receives(fd, "HTTP/1.1 503"));
  BOOST_TEST(f.receives(fd, "Retry-After: 1"));
  BOOST_TEST((f.Turned == std::vector{Shed::NoMemory}));
  close(fd);
  BOOST_TEST(f.runUntil([&] { return openConnections(*f.It) == 0; }));
  BOOST_TEST(limits::heldBytes(memory) == 0U);
}

// Guards against a client that fills the memory with a body that it does not end, and against
// ordinary requests that are refused for it.
BOOST_AUTO_TEST_CASE(UnfinishedBodiesAreClosedForOthers) {
  limits::MemoryBudget memory = limits::makeMemoryBudget(1'000'000);
  ServerOptions options;
  options.Memory = &memory;
  Fixture f(options);
  const int large = connectPlain(port(*f.It));
  const int small = connectPlain(port(*f.It));
  sendText(large, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nf0000\r\n");
  BOOST_TEST(f.runUntil([&] {
    sendText(large, std::string(10'000, 'b'));
    return !f.Turned.empty();
  }));
  BOOST_TEST(limits::excessBytes(memory) == 0U);
  sendText(small, Get);
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  close(large);
  close(small);
}

// Guards against one client address that takes all connections.
BOOST_AUTO_TEST_CASE(ConnectionsOfOneAddressAreBounded) {
  ServerOptions options;
  options.MaxConnectionsPerAddress = 2;
  Fixture f(options);
  std::vector<int> fds;
  fds.reserve(4);
  for (int i = 0; i < 3; ++i)
    fds.push_back(connectPlain(port(*f.It)));
  BOOST_TEST(f.runUntil([&] { return isClosed(fds[2]); }));
  BOOST_TEST(openConnections(*f.It) == 2U);
  BOOST_TEST((f.Turned == std::vector{Shed::TooManyConnections}));
  close(fds[0]);
  BOOST_TEST(f.runUntil([&] { return openConnections(*f.It) == 1; }));
  fds.push_back(connectPlain(port(*f.It)));
  BOOST_TEST(f.runUntil([&] { return openConnections(*f.It) == 2; }));
  for (const int it : fds)
    close(it);
}

// Guards against a loop that spins, or descriptors that run out, while no connection may be taken.
BOOST_AUTO_TEST_CASE(AcceptingPausesAndGoesOn) {
  bool mayAccept = false;
  int asked = 0;
  ServerOptions options;
  options.MayAccept = [&] {
    ++asked;
    return mayAccept;
  };
  Fixture f(options);
  const int fd = connectPlain(port(*f.It));
  sendText(fd, Get);
  f.runUntil([] { return false; }, 600ms);
  BOOST_TEST(openConnections(*f.It) == 0U);
  BOOST_TEST(asked <= 4);
  mayAccept = true;
  BOOST_TEST(f.runUntil([&] { return f.Requests.size() == 1; }));
  close(fd);
}

// Guards against a body that trickles in to hold its connection.
BOOST_AUTO_TEST_CASE(SlowBodiesAreEnded) {
  ServerOptions options;
  options.Limits.IdleTimeout = 200ms;
  // Above what this client sends, which is one byte per turn of the loop.
  options.Limits.MinBodyBytesPerSecond = 100'000'000;
  Fixture f(options);
  const int fd = connectPlain(port(*f.It));
  sendText(fd, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
  BOOST_TEST(f.runUntil([&] {
    sendText(fd, "b");
    return !f.Rejected.empty();
  }));
  BOOST_TEST((f.Rejected == std::vector{408}));
  close(fd);
}

// Guards against large bodies that are lost because they are read behind other work, and against a
// connection that is gone when its turn comes.
BOOST_AUTO_TEST_CASE(LargeBodiesAreReadBehindOtherWork) {
  Fixture f;
  const std::string body(1 << 20, 'b');
  const std::string head =
      "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  const int large = connectPlain(port(*f.It));
  const int gone = connectPlain(port(*f.It));
  const int small = connectPlain(port(*f.It));
  std::string left = head + body;
  sendText(gone, head + std::string(300'000, 'b'));
  bool isGone = false;
  BOOST_TEST(f.runUntil([&] {
    const ssize_t n = ::send(large, left.data(), left.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    left.erase(0, n > 0 ? static_cast<std::size_t>(n) : 0);
    if (f.Requests.empty())
      sendText(small, Get);
    if (left.empty() && !std::exchange(isGone, true))
      close(gone);
    return openConnections(*f.It) == 2U &&
           std::ranges::any_of(f.Requests, [&](const Request &it) { return it.Body == body; });
  }));
  BOOST_TEST(f.Requests[0].Head.Target == "/x");
  BOOST_TEST(f.Requests[0].Body.empty());
  close(large);
  close(small);
}

// Guards against a sweep that touches a connection which the events of another one have closed.
BOOST_AUTO_TEST_CASE(EventsOfASweepMayCloseOthers) {
  Net net;
  ServerPtr server;
  std::vector<std::uint64_t> ids;
  int gone = 0;
  ServerOptions options;
  options.Address = "127.0.0.1:0";
  options.Limits.IdleTimeout = 100ms;
  options.MaxPendingStreamBytes = std::size_t{64} << 20U;
  server = std::move(*startServer(net.EventLoop, net.Timers, options,
                                  {.OnRequest = [&](Request &&r) { ids.push_back(r.Id); },
                                   .OnGone =
                                       [&](std::uint64_t) {
                                         ++gone;
                                         for (const std::uint64_t id : ids)
                                           abort(*server, id);
                                       }}));
  std::vector<int> fds;
  for (int i = 0; i < 4; ++i) {
    fds.push_back(connectPlain(port(*server)));
    sendText(fds.back(), Get);
  }
  BOOST_REQUIRE(net.runUntil([&] { return ids.size() == fds.size(); }));
  // More than the sockets take, so that all of them are overdue in the same sweep.
  for (const std::uint64_t id : ids)
    beginStream(*server, id, {.Body = std::string(std::size_t{16} << 20U, 'x')});
  BOOST_TEST(net.runUntil([&] { return openConnections(*server) == 0; }));
  BOOST_TEST(gone == 1);
  for (const int fd : fds)
    close(fd);
}

BOOST_AUTO_TEST_SUITE_END()
