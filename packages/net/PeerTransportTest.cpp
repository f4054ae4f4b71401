#include "net/PeerTransport.h"

#include "net/PeerAuth.h"
#include "net/SocketAddress.h"
#include "net/TimerService.h"
#include "wire/Codec.h"
#include "wire/FrameReader.h"
#include "wire/Handshake.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace chervil;
using namespace chervil::net;
using namespace std::chrono_literals;

namespace {

struct Received {
  NodeId From;
  std::string Address;
  message::Message Content;
};

/// One transport and what it reported.
struct Node {
  std::vector<Received> Messages;
  std::vector<std::string> Unreachable;
  PeerTransportPtr Transport;

  std::string address() const { return peerAddress(*Transport); }
  const PeerCounters &count() const { return counters(*Transport); }
};

/// A plain TCP client that speaks as much of the protocol as a test tells it to.
struct RawPeer {
  int Fd = -1;
  wire::FrameReader Reader;

  explicit RawPeer(const std::string &address) : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in to = *parseAddress(address);
    BOOST_REQUIRE(connect(Fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) == 0);
  }
  ~RawPeer() { close(Fd); }
  RawPeer(const RawPeer &) = delete;
  RawPeer &operator=(const RawPeer &) = delete;

  void write(std::string_view bytes) const {
    BOOST_REQUIRE(::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }
  /// True once the other side has closed the connection.
  bool closed() {
    char buf[4096];
    for (;;) {
      const ssize_t n = recv(Fd, buf, sizeof(buf), MSG_DONTWAIT);
      if (n <= 0)
        return n == 0 || errno == ECONNRESET;
      wire::feed(Reader, {buf, static_cast<std::size_t>(n)});
    }
  }
  std::optional<std::string> frame() {
    (void)closed();
    const auto payload = wire::takeFrame(Reader);
    if (!payload || !*payload)
      return std::nullopt;
    return std::string(**payload);
  }
};

struct Fixture {
  net::Loop EventLoop;
  TimerService Timers{EventLoop};

  std::unique_ptr<Node> start(const std::string &name, PeerTransportOptions options = {}) {
    auto node = std::make_unique<Node>();
    options.Self = {name, 1};
    options.DataCentre = "dc";
    if (options.Secret.empty())
      options.Secret = "the shared secret";
    auto t = startPeerTransport(
        EventLoop, options,
        {.OnMessage =
             [n = node.get()](const NodeId &from, const std::string &address,
                              message::Message &&m) {
               n->Messages.push_back({from, address, std::move(m)});
             },
         .OnUnreachable =
             [n = node.get()](const std::string &address) { n->Unreachable.push_back(address); }});
    BOOST_REQUIRE(t.has_value());
    node->Transport = std::move(*t);
    return node;
  }

  /// Runs the loop until the condition holds; false after ten seconds.
  bool runUntil(const std::function<bool()> &done) {
    const TimePoint end = readNow().Steady + 10s;
    const TimerId tick = every(Timers, 1ms, [&] {
      if (done() || readNow().Steady > end)
        stop(EventLoop);
    });
    run(EventLoop);
    cancel(Timers, tick);
    return done();
  }

  void runFor(Duration d) {
    after(Timers, d, [this] { stop(EventLoop); });
    run(EventLoop);
  }
};

message::Message ping(std::uint64_t seq) { return message::Ping{.Seq = seq}; }

std::uint64_t seqOf(const Received &r) { return std::get<message::Ping>(r.Content).Seq; }

/// Completes the handshake as a connecting peer that knows the secret.
void authenticate(Fixture &f, RawPeer &raw) {
  const std::string hello =
      wire::encodeHello({{"raw", 1}, "dc", "127.0.0.1:1", randomNonce(wire::NonceSize)});
  raw.write(hello);
  std::optional<std::string> other;
  BOOST_REQUIRE(f.runUntil([&] { return other || (other = raw.frame()); }));
  raw.write(wire::encodeAuth({peerMac("the shared secret", PeerRole::Connecting,
                                      std::string_view(hello).substr(wire::PrefixSize), *other)}));
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerTransporting)

// Guards against lost, repeated or reordered messages on one connection, and a wrong sender.
BOOST_FIXTURE_TEST_CASE(MessagesArriveInOrder, Fixture) {
  const auto a = start("a");
  const auto b = start("b");
  for (std::uint64_t i = 0; i < 5000; ++i)
    send(*a->Transport, b->address(), ping(i));
  send(*b->Transport, a->address(), ping(7));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 5000 && a->Messages.size() == 1; }));
  for (std::uint64_t i = 0; i < 5000; ++i)
    BOOST_REQUIRE(seqOf(b->Messages[i]) == i);
  BOOST_TEST((b->Messages[0].From == NodeId{"a", 1}));
  BOOST_TEST(b->Messages[0].Address == a->address());
  BOOST_TEST((a->Messages[0].From == NodeId{"b", 1}));
  // One write per iteration, not per message.
  BOOST_TEST(a->count().Writes < 100U);
  BOOST_TEST(a->count().ConnectionsOpened == 1U);
}

// Guards against frames of the largest size that stop a connection, and larger ones that are sent.
BOOST_FIXTURE_TEST_CASE(LargeMessagesPassUpToTheLimit, Fixture) {
  const auto a = start("a");
  const auto b = start("b");
  const auto doc = [](std::size_t n) {
    return message::DocUpdate{.Name = "d", .Version = 1, .Body = std::string(n, 'x')};
  };
  send(*a->Transport, b->address(), doc(wire::MaxPayloadSize));
  for (int i = 0; i < 5; ++i)
    send(*a->Transport, b->address(), doc(wire::MaxPayloadSize - 16));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 5; }));
  BOOST_TEST(std::get<message::DocUpdate>(b->Messages[4].Content).Body.size() ==
             wire::MaxPayloadSize - 16);
  BOOST_TEST(a->count().MessagesTooLarge == 1U);
}

// Guards against a peer with another secret, in both roles, and against messages accepted before
// the proof.
BOOST_FIXTURE_TEST_CASE(WrongSecretIsCut, Fixture) {
  const auto a = start("a");
  const auto b = start("b", {.Secret = "another secret"});
  send(*a->Transport, b->address(), ping(1));
  send(*b->Transport, a->address(), ping(2));
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 1 && b->Unreachable.size() == 1; }));
  BOOST_TEST(a->Messages.empty());
  BOOST_TEST(b->Messages.empty());
  BOOST_TEST(a->count().CutAuthFailed + b->count().CutAuthFailed >= 2U);
  BOOST_TEST(a->count().MessagesDropped == 1U);
}

// Guards against a recorded handshake that is accepted a second time.
BOOST_FIXTURE_TEST_CASE(ReplayedHandshakeIsCut, Fixture) {
  const auto b = start("b");
  std::string recorded;
  {
    RawPeer raw(b->address());
    const std::string hello =
        wire::encodeHello({{"raw", 1}, "dc", "127.0.0.1:1", randomNonce(wire::NonceSize)});
    raw.write(hello);
    std::optional<std::string> other;
    BOOST_REQUIRE(runUntil([&] { return other || (other = raw.frame()); }));
    const std::string rest =
        wire::encodeAuth({peerMac("the shared secret", PeerRole::Connecting,
                                  std::string_view(hello).substr(wire::PrefixSize), *other)}) +
        wire::encode(ping(5));
    raw.write(rest);
    recorded = hello + rest;
    BOOST_TEST(runUntil([&] { return b->Messages.size() == 1; }));
  }
  RawPeer replay(b->address());
  replay.write(recorded);
  BOOST_TEST(runUntil([&] { return replay.closed(); }));
  BOOST_TEST(b->count().CutAuthFailed == 1U);
  BOOST_TEST(b->Messages.size() == 1U);
}

// Guards against a peer that sends the node's own Hello and proof back to it.
BOOST_FIXTURE_TEST_CASE(ReflectedHandshakeIsCut, Fixture) {
  const auto b = start("b");
  RawPeer raw(b->address());
  std::optional<std::string> hello;
  BOOST_REQUIRE(runUntil([&] { return hello || (hello = raw.frame()); }));
  const auto echo = [&](const std::string &payload) {
    raw.write(std::string("\0\0\0", 3) + static_cast<char>(payload.size()) + payload);
  };
  echo(*hello);
  std::optional<std::string> auth;
  BOOST_REQUIRE(runUntil([&] { return auth || (auth = raw.frame()); }));
  echo(*auth);
  BOOST_TEST(runUntil([&] { return raw.closed(); }));
  BOOST_TEST(b->count().CutAuthFailed == 1U);
}

// Guards against garbage, before and after the proof, that crashes or is ignored.
BOOST_FIXTURE_TEST_CASE(GarbageIsCut, Fixture) {
  const auto b = start("b");
  RawPeer http(b->address());
  http.write("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(runUntil([&] { return http.closed(); }));
  BOOST_TEST(b->count().CutTooLarge == 1U);
  RawPeer noise(b->address());
  noise.write(std::string("\0\0\0\4abcd", 8));
  BOOST_TEST(runUntil([&] { return noise.closed(); }));
  BOOST_TEST(b->count().CutBadFrame == 1U);
  RawPeer early(b->address());
  early.write(wire::encode(ping(1)));
  BOOST_TEST(runUntil([&] { return early.closed(); }));
  BOOST_TEST(b->count().CutBadFrame == 2U);
  RawPeer late(b->address());
  authenticate(*this, late);
  late.write(wire::encode(ping(1)) + std::string("\0\0\0\4abcd", 8));
  BOOST_TEST(runUntil([&] { return late.closed(); }));
  BOOST_TEST(b->count().CutBadFrame == 3U);
  BOOST_TEST(b->Messages.size() == 1U);
}

// Guards against memory reserved for an oversized frame, and a larger bound before the proof.
BOOST_FIXTURE_TEST_CASE(OversizedLengthIsCut, Fixture) {
  const auto b = start("b");
  RawPeer before(b->address());
  before.write(std::string("\0\0\x10\0", 4));
  BOOST_TEST(runUntil([&] { return before.closed(); }));
  BOOST_TEST(b->count().CutTooLarge == 1U);
  RawPeer after(b->address());
  authenticate(*this, after);
  after.write(std::string("\x7f\xff\xff\xff", 4));
  BOOST_TEST(runUntil([&] { return after.closed(); }));
  BOOST_TEST(b->count().CutTooLarge == 2U);
}

// Guards against half a frame, or half a handshake, that holds a connection for ever, and against
// cutting a peer that is merely idle.
BOOST_FIXTURE_TEST_CASE(HalfAFrameThenSilenceIsCut, Fixture) {
  const auto b = start("b", {.SlowReadTimeout = 60ms});
  RawPeer silent(b->address());
  RawPeer half(b->address());
  RawPeer idle(b->address());
  authenticate(*this, half);
  authenticate(*this, idle);
  idle.write(wire::encode(ping(1)));
  half.write(wire::encode(ping(2)).substr(0, 5));
  BOOST_TEST(runUntil([&] { return half.closed() && silent.closed(); }));
  BOOST_TEST(b->count().CutTooSlow == 2U);
  runFor(150ms);
  BOOST_TEST(!idle.closed());
}

// Guards against a slow trickle that restarts the timer with every byte.
BOOST_FIXTURE_TEST_CASE(TrickledFrameIsCut, Fixture) {
  const auto b = start("b", {.SlowReadTimeout = 100ms});
  RawPeer raw(b->address());
  authenticate(*this, raw);
  const std::string frame = wire::encode(message::DocUpdate{.Body = std::string(500, 'x')});
  std::size_t at = 0;
  const TimerId id = every(Timers, 20ms, [&] { ::send(raw.Fd, &frame[at++], 1, MSG_NOSIGNAL); });
  BOOST_TEST(runUntil([&] { return raw.closed(); }));
  cancel(Timers, id);
  BOOST_TEST(b->count().CutTooSlow == 1U);
}

// Guards against a transport that never sends again after its peer restarted, and against messages
// lost without being counted.
BOOST_FIXTURE_TEST_CASE(ReconnectsAfterRestart, Fixture) {
  const auto a = start("a");
  auto b = start("b");
  const std::string address = b->address();
  send(*a->Transport, address, ping(1));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 1; }));
  b.reset();
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 1; }));
  send(*a->Transport, address, ping(2));
  send(*a->Transport, address, ping(3));
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 2; }));
  BOOST_TEST(a->count().MessagesDropped == 2U);
  BOOST_TEST(a->Unreachable[1] == address);
  b = start("b", {.Listen = address});
  send(*a->Transport, address, ping(4));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 1; }));
  BOOST_TEST(seqOf(b->Messages[0]) == 4U);
}

// Guards against a busy loop of connection attempts to a dead address whose failure is answered by
// sending again.
BOOST_FIXTURE_TEST_CASE(AttemptsToADeadAddressAreBounded, Fixture) {
  const auto a = start("a");
  std::string dead;
  {
    const auto b = start("b");
    dead = b->address();
  }
  const TimerId id = every(Timers, 1ms, [&] { send(*a->Transport, dead, ping(1)); });
  runFor(500ms);
  cancel(Timers, id);
  BOOST_TEST(a->count().ConnectsFailed >= 2U);
  BOOST_TEST(a->count().ConnectsFailed <= 11U);
  BOOST_TEST(a->Unreachable.size() == a->count().ConnectsFailed);
}

// Guards against a malformed address that throws or is reported from within send().
BOOST_FIXTURE_TEST_CASE(MalformedAddressIsUnreachable, Fixture) {
  const auto a = start("a");
  send(*a->Transport, "nowhere", ping(1));
  BOOST_TEST(a->Unreachable.empty());
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 1; }));
  BOOST_TEST(a->Unreachable[0] == "nowhere");
}

// Guards against unbounded memory when a peer stops reading, and against a stalled peer that is
// kept for ever.
BOOST_FIXTURE_TEST_CASE(PeerThatStopsReadingIsCut, Fixture) {
  // A listener whose backlog completes connections but which never reads.
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = *parseAddress("127.0.0.1:0");
  socklen_t size = sizeof(address);
  BOOST_REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
  BOOST_REQUIRE(listen(listener, 8) == 0);
  getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
  const std::string mute = formatAddress(address);
  const auto a = start("a", {.SlowReadTimeout = 300ms, .SendQueueBound = 100'000});
  const message::DocUpdate doc{.Body = std::string(10'000, 'x')};
  for (int i = 0; i < 12; ++i)
    send(*a->Transport, mute, doc);
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 1; }));
  BOOST_TEST(a->count().CutQueueFull == 1U);
  BOOST_TEST(a->count().MessagesDropped == 12U);
  send(*a->Transport, mute, doc);
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 2; }));
  BOOST_TEST(a->count().CutTooSlow == 1U);
  close(listener);
}

// Guards against a stall after the handshake, when the kernel's buffers are full, that is never
// noticed because nothing more is sent.
BOOST_FIXTURE_TEST_CASE(StallAfterTheHandshakeIsCut, Fixture) {
  const auto a = start("a", {.SlowWriteTimeout = 200ms, .SendQueueBound = 64 << 20});
  // The receiving side runs on a loop that is stopped once the connection stands.
  net::Loop other;
  TimerService timers(other);
  int received = 0;
  auto b = std::move(*startPeerTransport(
      other, {.Self = {"b", 1}, .DataCentre = "dc", .Secret = "the shared secret"},
      {.OnMessage = [&](const NodeId &, const std::string &, message::Message &&) {
        ++received;
      }}));
  const TimerId turn = every(Timers, 1ms, [&] { ev_run(other.Raw.get(), EVRUN_NOWAIT); });
  send(*a->Transport, peerAddress(*b), ping(1));
  BOOST_TEST(runUntil([&] { return received == 1; }));
  cancel(Timers, turn);
  for (int i = 0; i < 32; ++i)
    send(*a->Transport, peerAddress(*b), message::DocUpdate{.Body = std::string(1'000'000, 'x')});
  BOOST_TEST(runUntil([&] { return a->Unreachable.size() == 1; }));
  BOOST_TEST(a->count().CutTooSlow == 1U);
  BOOST_TEST(a->count().MessagesDropped > 0U);
  BOOST_TEST(a->count().MessagesDropped <= 32U);
}

// Guards against a peer that goes silent without a reset and to which messages are lost until the
// kernel gives up after many minutes: its connections must have time-outs of their own.
BOOST_FIXTURE_TEST_CASE(SilentPeersAreDetected, Fixture) {
  const auto a = start("a", {.SlowWriteTimeout = 3210ms});
  const auto b = start("b", {.SlowWriteTimeout = 3210ms});
  send(*a->Transport, b->address(), ping(1));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 1; }));
  int found = 0;
  for (int fd = 0; fd < 1024; ++fd) {
    unsigned timeout = 0;
    int keepAlive = 0;
    int idle = 0;
    socklen_t n = sizeof(timeout);
    if (getsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &n) != 0 || timeout != 3210)
      continue;
    n = sizeof(keepAlive);
    (void)getsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &keepAlive, &n);
    n = sizeof(idle);
    (void)getsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, &n);
    found += keepAlive != 0 && idle <= 2 ? 1 : 0;
  }
  // The side that opened the connection and the one that accepted it.
  BOOST_TEST(found == 2);
}

// Guards against idle connections that stay open, and an idle close that is reported as a failure.
BOOST_FIXTURE_TEST_CASE(IdleConnectionsClose, Fixture) {
  const auto a = start("a", {.IdleClose = 40ms});
  const auto b = start("b", {.IdleClose = 40ms});
  send(*a->Transport, b->address(), ping(1));
  BOOST_TEST(runUntil([&] { return a->count().ConnectionsClosedIdle == 1; }));
  BOOST_TEST(runUntil([&] { return b->count().ConnectionsOpen == 0; }));
  BOOST_TEST(a->Unreachable.empty());
  send(*a->Transport, b->address(), ping(2));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 2; }));
}

// Guards against accepted connections without bound.
BOOST_FIXTURE_TEST_CASE(AcceptedConnectionsAreBounded, Fixture) {
  const auto b = start("b", {.MaxAccepted = 2});
  RawPeer one(b->address());
  RawPeer two(b->address());
  RawPeer three(b->address());
  BOOST_TEST(runUntil([&] { return three.closed(); }));
  BOOST_TEST(!one.closed());
  BOOST_TEST(b->count().ConnectionsOverBound == 1U);
}

// Guards against connections that never prove themselves and hold descriptors, or keep a node out.
BOOST_FIXTURE_TEST_CASE(HandshakesAreBounded, Fixture) {
  const auto a = start("a");
  const auto b = start("b", {.MaxHandshakes = 2});
  RawPeer one(b->address());
  RawPeer two(b->address());
  BOOST_REQUIRE(runUntil([&] { return b->count().ConnectionsOpen == 2; }));
  RawPeer three(b->address());
  BOOST_TEST(runUntil([&] { return one.closed(); }));
  BOOST_TEST(!two.closed());
  send(*a->Transport, b->address(), ping(1));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 1; }));
  BOOST_TEST(two.closed());
  BOOST_TEST(!three.closed());
  BOOST_TEST(b->count().CutTooManyHandshakes == 2U);
  // A peer that has proved itself is not closed for one that has not.
  RawPeer four(b->address());
  RawPeer five(b->address());
  BOOST_TEST(runUntil([&] { return three.closed(); }));
  send(*a->Transport, b->address(), ping(2));
  BOOST_TEST(runUntil([&] { return b->Messages.size() == 2; }));
  BOOST_TEST(a->count().ConnectionsOpened == 1U);
}

// Guards against a start without a secret, which would admit anyone.
BOOST_FIXTURE_TEST_CASE(BadOptionsAreRejected, Fixture) {
  BOOST_TEST(!startPeerTransport(EventLoop, {}, {}).has_value());
  BOOST_TEST(!startPeerTransport(EventLoop, {.Listen = "x", .Secret = "s"}, {}).has_value());
}

// Guards against cross-talk and lost messages among many transports that all talk to each other.
BOOST_FIXTURE_TEST_CASE(ManyPeersTalkToEachOther, Fixture) {
  constexpr std::size_t count = 30;
  std::vector<std::unique_ptr<Node>> nodes;
  nodes.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    nodes.push_back(start("n" + std::to_string(i)));
  for (std::uint64_t round = 0; round < 10; ++round)
    for (auto &from : nodes)
      for (auto &to : nodes)
        send(*from->Transport, to->address(), ping(round));
  BOOST_TEST(runUntil([&] {
    return std::ranges::all_of(nodes,
                               [](const auto &n) { return n->Messages.size() == 10 * count; });
  }));
  for (auto &n : nodes) {
    BOOST_TEST(n->Unreachable.empty());
    std::map<std::string, std::uint64_t> next;
    for (const Received &r : n->Messages)
      BOOST_REQUIRE(seqOf(r) == next[r.From.Name]++);
    BOOST_TEST(next.size() == count);
  }
}

// Guards against a cost per connection that 320 peers would multiply: one node with 320
// connections.
BOOST_FIXTURE_TEST_CASE(ThreeHundredPeersAreCheap, Fixture) {
  const auto hub = start("hub");
  std::vector<std::unique_ptr<Node>> nodes;
  nodes.reserve(320);
  for (int i = 0; i < 320; ++i)
    nodes.push_back(start("n" + std::to_string(i)));
  for (auto &n : nodes)
    send(*hub->Transport, n->address(), ping(1));
  BOOST_TEST(runUntil([&] {
    return std::ranges::all_of(nodes, [](const auto &n) { return n->Messages.size() == 1; });
  }));
  BOOST_TEST(hub->count().ConnectionsOpen == 320U);
  // One small frame per peer and the handshake: no connection needs a second write.
  BOOST_TEST(hub->count().Writes <= 3U * 320U);
}

BOOST_AUTO_TEST_SUITE_END()
