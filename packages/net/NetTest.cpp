#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/TimerService.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace chervil;
using namespace chervil::net;
using namespace std::chrono_literals;

namespace {

struct Fixture {
  net::Loop EventLoop;
  TimerService Timers{EventLoop};
  HttpServerPtr Server;
  HttpClientPtr Client = makeHttpClient(EventLoop, {});
  std::string Url;
  std::string Body;
  std::vector<HttpEnd> Ends;

  void serve(std::function<void(HttpRequest &&)> handler, HttpServerOptions options = {}) {
    Server = std::move(*startHttpServer(EventLoop, std::move(options), {std::move(handler), {}}));
    Url = "http://127.0.0.1:" + std::to_string(port(*Server));
    after(Timers, 10s, [this] { stop(EventLoop); });
  }

  void call(HttpCall it) {
    startCall(*Client, std::move(it),
              {.OnHead = {},
               .OnData = [this](std::string_view bytes) { Body += bytes; },
               .OnEnd =
                   [this](const HttpEnd &end) {
                     Ends.push_back(end);
                     stop(EventLoop);
                   }});
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Net)

// Guards against lost or reordered bytes between writes from timers and the suspended connection.
BOOST_FIXTURE_TEST_CASE(StreamArrivesWholeAndInOrder, Fixture) {
  serve([this](HttpRequest &&r) {
    beginStream(*Server, r.Id, {.ContentType = "text/plain", .Headers = {}, .Body = "0"});
    for (int i = 1; i <= 50; ++i)
      after(Timers, std::chrono::milliseconds(i),
            [this, id = r.Id, i] { writeStream(*Server, id, "," + std::to_string(i)); });
    after(Timers, 60ms, [this, id = r.Id] { endStream(*Server, id); });
  });
  call({.Url = Url + "/s"});
  run(EventLoop);
  std::string expected = "0";
  for (int i = 1; i <= 50; ++i)
    expected += "," + std::to_string(i);
  BOOST_TEST(Body == expected);
  BOOST_REQUIRE(Ends.size() == 1U);
  BOOST_TEST((Ends[0].Failure == HttpFailure::None));
}

// Guards against an aborted stream that looks complete to the caller.
BOOST_FIXTURE_TEST_CASE(AbortedStreamIsNotWhole, Fixture) {
  serve([this](HttpRequest &&r) {
    beginStream(*Server, r.Id, {.ContentType = "text/plain", .Headers = {}, .Body = "half"});
    after(Timers, 20ms, [this, id = r.Id] { abortStream(*Server, id); });
  });
  call({.Url = Url + "/s"});
  run(EventLoop);
  BOOST_REQUIRE(Ends.size() == 1U);
  BOOST_TEST((Ends[0].Failure == HttpFailure::Broken));
}

// Guards against reporting "not sent" for a request that reached the server, or the reverse.
BOOST_FIXTURE_TEST_CASE(RefusedConnectionCountsAsNotSent, Fixture) {
  serve([](HttpRequest &&) {});
  Server.reset();
  call({.Method = "POST", .Url = Url + "/x", .Headers = {}, .Body = "b"});
  run(EventLoop);
  BOOST_REQUIRE(Ends.size() == 1U);
  BOOST_TEST((Ends[0].Failure == HttpFailure::NotSent));
}

// Guards against libcurl's own repeat of a POST when a reused connection closes early.
BOOST_FIXTURE_TEST_CASE(CallWithoutReuseReachesTheServerOnce, Fixture) {
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
  BOOST_REQUIRE(listen(listener, 8) == 0);
  getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
  int accepted = 0;
  int received = 0;
  // Answers the first request on a connection and closes it after reading the second.
  struct Peer {
    ev_io Io;
    int *Received;
    int OnThisConnection = 0;
  };
  std::vector<std::unique_ptr<Peer>> peers;
  struct Accept {
    ev_io Io;
    std::function<void(int)> OnFd;
  } acceptor;
  acceptor.OnFd = [&](int fd) {
    ++accepted;
    auto peer = std::make_unique<Peer>();
    peer->Received = &received;
    ev_io_init(
        &peer->Io,
        [](struct ev_loop *loop, ev_io *w, int) {
          auto &it = *static_cast<Peer *>(w->data);
          char buf[4096];
          const ssize_t n = read(w->fd, buf, sizeof(buf));
          const std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
          if (n > 0)
            ++*it.Received;
          if (n > 0 && ++it.OnThisConnection == 1 && write(w->fd, answer.data(), answer.size()) > 0)
            return;
          ev_io_stop(loop, w);
          close(w->fd);
        },
        fd, EV_READ);
    peer->Io.data = peer.get();
    ev_io_start(EventLoop.Raw.get(), &peer->Io);
    peers.push_back(std::move(peer));
  };
  ev_io_init(
      &acceptor.Io,
      [](struct ev_loop *, ev_io *w, int) {
        static_cast<Accept *>(w->data)->OnFd(accept(w->fd, nullptr, nullptr));
      },
      listener, EV_READ);
  acceptor.Io.data = &acceptor;
  ev_io_start(EventLoop.Raw.get(), &acceptor.Io);
  Url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  after(Timers, 10s, [this] { stop(EventLoop); });
  call({.Method = "POST", .Url = Url, .Headers = {}, .Body = "one"});
  run(EventLoop);
  call({.Method = "POST", .Url = Url, .Headers = {}, .Body = "two", .ReuseConnection = false});
  run(EventLoop);
  BOOST_TEST(accepted == 2);
  BOOST_TEST(received == 2);
  ev_io_stop(EventLoop.Raw.get(), &acceptor.Io);
  for (auto &it : peers)
    ev_io_stop(EventLoop.Raw.get(), &it->Io);
  close(listener);
}

// Guards against a call that never starts because libcurl refuses new handles inside its callbacks.
BOOST_FIXTURE_TEST_CASE(CallStartedFromDataCallbackRuns, Fixture) {
  int requests = 0;
  serve([&](HttpRequest &&r) {
    ++requests;
    respond(*Server, r.Id, {.Body = "x"});
  });
  startCall(*Client, {.Url = Url + "/first"},
            {.OnHead = {},
             .OnData = [this](std::string_view) { call({.Url = Url + "/second"}); },
             .OnEnd = {}});
  run(EventLoop);
  BOOST_TEST(requests == 2);
  BOOST_REQUIRE(Ends.size() == 1U);
  BOOST_TEST(Ends[0].Status == 200);
}

// Guards against a lost answer that reaches the caller as a response with status 200.
BOOST_FIXTURE_TEST_CASE(AbortBeforeTheResponseSendsNoStatus, Fixture) {
  int gone = 0;
  auto server =
      startHttpServer(EventLoop, {},
                      {.OnRequest =
                           [&](HttpRequest &&r) {
                             if (r.Path == "/now")
                               return abortStream(*Server, r.Id);
                             after(Timers, 5ms, [this, id = r.Id] { abortStream(*Server, id); });
                           },
                       .OnGone = [&](std::uint64_t) { ++gone; }});
  Server = std::move(*server);
  Url = "http://127.0.0.1:" + std::to_string(port(*Server));
  after(Timers, 10s, [this] { stop(EventLoop); });
  for (const char *path : {"/now", "/later"}) {
    call({.Method = "POST", .Url = Url + path, .Headers = {}, .Body = "b"});
    run(EventLoop);
  }
  BOOST_REQUIRE(Ends.size() == 2U);
  for (const HttpEnd &end : Ends) {
    BOOST_TEST((end.Failure == HttpFailure::Broken));
    BOOST_TEST(end.Status == 0);
  }
  BOOST_TEST(gone == 2);
}

// Guards against a body over the limit that is handled as a truncated one.
BOOST_FIXTURE_TEST_CASE(OversizedBodyIsReported, Fixture) {
  bool tooLarge = false;
  serve(
      [&](HttpRequest &&r) {
        tooLarge = r.BodyTooLarge && r.Body.empty();
        respond(*Server, r.Id,
                {.Status = 413, .ContentType = "text/plain", .Headers = {}, .Body = "no"});
      },
      {.MaxBody = 1000});
  call({.Method = "POST", .Url = Url, .Headers = {}, .Body = std::string(5000, 'x')});
  run(EventLoop);
  BOOST_TEST(tooLarge);
  BOOST_REQUIRE(Ends.size() == 1U);
  BOOST_TEST(Ends[0].Status == 413);
}

// Guards against two processes that share a port unnoticed, each taking a part of the callers.
BOOST_FIXTURE_TEST_CASE(PortInUseIsRefused, Fixture) {
  serve([](HttpRequest &&) {});
  const auto second = startHttpServer(EventLoop, {.Port = port(*Server)}, {});
  BOOST_TEST(!second.has_value());
}

// Guards against a cancelled timer that still fires and a callback that cancels itself.
BOOST_FIXTURE_TEST_CASE(TimersCanBeCancelled, Fixture) {
  int fired = 0;
  TimerId id = 0;
  id = every(Timers, 1ms, [&] {
    if (++fired == 3)
      cancel(Timers, id);
  });
  const TimerId never = after(Timers, 5ms, [&] { fired = 100; });
  cancel(Timers, never);
  after(Timers, 30ms, [this] { stop(EventLoop); });
  run(EventLoop);
  BOOST_TEST(fired == 3);
}

BOOST_AUTO_TEST_SUITE_END()
