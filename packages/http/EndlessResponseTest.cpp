// Servers that send bytes without end: in a head, in interim heads, in a body, in the line that
// begins a chunk, or as responses of other calls.
#include "http/TestNet.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <list>

using namespace chervil;
using namespace chervil::http;
using namespace chervil::http::test;
using namespace std::chrono_literals;

namespace {

/// A connection on which a server sends `Prefix` and then `Repeated` for as long as it is open.
struct Flood {
  int Fd = -1;
  std::string Pending;
  std::uint64_t Sent = 0;
  bool Closed = false;
};

struct FloodingServers : Net {
  ClientPtr It = makeClient(EventLoop, Timers, {});
  int Listener = -1;
  std::string Address;
  std::string Prefix;
  std::string Repeated;
  std::list<Flood> Floods;
  std::vector<Failure> Ends;
  std::list<std::string> Collected;

  FloodingServers(std::string prefix, std::string repeated)
      : Prefix(std::move(prefix)), Repeated(std::move(repeated)) {
    Listener = listenOnLoopback(Address);
  }
  FloodingServers(const FloodingServers &) = delete;
  FloodingServers &operator=(const FloodingServers &) = delete;
  ~FloodingServers() {
    close(Listener);
    for (const Flood &it : Floods)
      close(it.Fd);
  }

  void call(std::uint64_t maxBytes) {
    std::string &body = Collected.emplace_back();
    startCall(*It, {.Address = Address, .Head = {"POST", "/x", {}}, .MaxResponseBytes = maxBytes},
              {.Accepts =
                   [](const ResponseHead &head) {
                     const std::string *id = find(head.Fields, "Id");
                     return id == nullptr || *id == "1";
                   },
               .OnData = [&body](std::string_view bytes) { body.append(bytes); },
               .OnEnd = [this](const End &end) { Ends.push_back(end.Failure); }});
  }

  /// Sends what each socket takes, a few kilobytes at a time.
  void pump() {
    for (int fd = 0; (fd = accept4(Listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
      Floods.push_back({fd, Prefix});
    for (Flood &it : Floods) {
      while (it.Pending.size() < 16'384)
        it.Pending += Repeated;
      const ssize_t n = send(it.Fd, it.Pending.data(), it.Pending.size(), MSG_NOSIGNAL);
      if (n > 0) {
        it.Sent += static_cast<std::uint64_t>(n);
        it.Pending.erase(0, static_cast<std::size_t>(n));
      } else if (errno != EAGAIN) {
        it.Closed = true;
      }
    }
  }

  /// Runs until all calls have ended and their connections are closed.
  bool allEnd(std::size_t calls) {
    return runUntil([&] {
      pump();
      std::size_t closed = 0;
      for (const Flood &it : Floods)
        closed += it.Closed ? 1 : 0;
      return Ends.size() == calls && closed == calls;
    });
  }
};

std::size_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0;
  std::size_t resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

constexpr std::uint64_t MaxBytes = 1'000'000;

} // namespace

BOOST_AUTO_TEST_SUITE(HttpEndlessResponse)

// Guards against a call that reads for ever, holds its connection and a place at the server, and
// collects what it cannot parse.
BOOST_AUTO_TEST_CASE(BytesWithoutEndEndTheCall) {
  const struct {
    const char *What;
    std::string Prefix;
    std::string Repeated;
    http::Failure Failure;
  } cases[] = {
      {"body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'), Failure::TooLarge},
      {"body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n",
       std::string(1000, 'x'), Failure::TooLarge},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "3e8\r\n" + std::string(1000, 'x') + "\r\n", Failure::TooLarge},
      {"line of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e8;a=",
       std::string(1000, 'x'), Failure::Malformed},
      {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n",
       Failure::Malformed},
      {"field of the head", "HTTP/1.1 200 OK\r\nA: ", std::string(1000, 'x'), Failure::Malformed},
      {"fields of the head", "HTTP/1.1 200 OK\r\n", "A: b\r\n", Failure::Malformed},
      {"interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n", Failure::TooManyResponses},
      {"responses of another call", "", "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nok",
       Failure::TooManyResponses},
      {"body of another call", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\n", std::string(1000, 'x'),
       Failure::TooLarge},
      {"no response", "", std::string(1000, '\x7f'), Failure::Malformed},
  };
  for (const auto &it : cases) {
    BOOST_TEST_CONTEXT(it.What) {
      FloodingServers servers(it.Prefix, it.Repeated);
      servers.call(MaxBytes);
      BOOST_REQUIRE(servers.allEnd(1));
      BOOST_TEST(toString(servers.Ends[0]) == toString(it.Failure));
      BOOST_TEST(servers.Collected.front().size() <= MaxBytes);
      // The server could send what was read and what fits into the buffers of the sockets.
      BOOST_TEST(servers.Floods.front().Sent < 12 * MaxBytes);
    }
  }
}

// Guards against a node that dies of many such servers at once. Bound: 100 MB, of the 160 MB that
// the smallest VMs have.
BOOST_AUTO_TEST_CASE(FortyServersStayWithinTheMemory) {
  FloodingServers servers("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'x'));
  const std::size_t before = residentBytes();
  for (int i = 0; i < 40; ++i)
    servers.call(MaxBytes);
  std::size_t most = before;
  BOOST_REQUIRE(servers.runUntil([&] {
    servers.pump();
    most = std::max(most, residentBytes());
    return servers.Ends.size() == 40U;
  }));
  BOOST_TEST(most - before < 100'000'000U);
  for (const Failure it : servers.Ends)
    BOOST_TEST((it == Failure::TooLarge));
}

// Guards against a bound that cuts what a sound server sends: interim heads and a late copy of an
// earlier answer before the answer itself.
BOOST_AUTO_TEST_CASE(SoundAnswersPass) {
  std::string prefix;
  for (unsigned i = 0; i + 1 < MaxSkippedResponses; ++i)
    prefix += "HTTP/1.1 102 Processing\r\n\r\n";
  prefix += "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nno";
  prefix += "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 900000\r\n\r\n";
  FloodingServers servers(prefix, std::string(1000, 'x'));
  servers.call(MaxBytes);
  BOOST_REQUIRE(servers.runUntil([&] {
    servers.pump();
    return servers.Ends.size() == 1U;
  }));
  BOOST_TEST(toString(servers.Ends[0]) == "none");
  BOOST_TEST(servers.Collected.front() == std::string(900'000, 'x'));
  // Bytes follow the answer, so the connection is not used again.
  BOOST_TEST(counters(*servers.It).TrailingBytes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
