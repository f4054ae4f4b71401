#include "net/PeerTransport.h"

#include "net/PeerAuth.h"
#include "net/SocketAddress.h"
#include "net/SocketOptions.h"
#include "wire/Codec.h"
#include "wire/FrameReader.h"
#include "wire/Handshake.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervil::net {
namespace {

// Names and addresses are short; a peer that has not proved itself may not occupy more.
constexpr std::size_t HandshakeLimit = 1024;
constexpr std::size_t ReadBlock = 64 * 1024;
// Bytes already written are removed from the front of a queue in blocks of this size.
constexpr std::size_t CompactBlock = 1 << 20;
constexpr std::size_t KeptCapacity = 16 * 1024;

enum class Stage : std::uint8_t { Waiting, Connecting, Hello, Auth, Ready };

enum class CutReason : std::uint8_t {
  None,
  Idle,
  ConnectFailed,
  Lost,
  BadFrame,
  TooLarge,
  AuthFailed,
  TooSlow,
  QueueFull,
  TooManyHandshakes,
};

struct Connection {
  PeerTransport *Transport = nullptr;
  PeerRole Role = PeerRole::Connecting;
  Stage At = Stage::Waiting;
  CutReason Cut = CutReason::None;
  int Fd = -1;
  ev_io Io{};
  bool Dirty = false;
  /// Address connected to; empty for an accepted connection.
  std::string Address;
  wire::FrameReader Reader;
  /// Handshake frames, then messages. The first HandshakeBytes are not messages.
  std::string Out;
  std::size_t OutTaken = 0;
  std::size_t HandshakeBytes = 0;
  /// Messages queued before the handshake ends.
  std::string Pending;
  std::string OwnHello;
  std::string PeerHello;
  wire::Hello Peer;
  TimePoint LastUse{};
  /// Start of the present stage, of the frame that is incomplete, and of the present stall.
  TimePoint StageStart{};
  TimePoint FrameStart{};
  TimePoint StallStart{};
  bool FramePartial = false;
  bool Stalled = false;
};

} // namespace

struct PeerTransport {
  PeerTransportOptions Options;
  PeerCallbacks Callbacks;
  PeerCounters Counters;
  struct ev_loop *Loop = nullptr;
  int Listener = -1;
  ev_io Accept{};
  ev_prepare Prepare{};
  ev_timer Sweep{};
  ev_timer Reap{};
  std::string Address;
  std::unordered_map<std::string, std::unique_ptr<Connection>> Outgoing;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Incoming;
  /// Accepted connections whose peer has not proved itself, the oldest first.
  std::deque<Connection *> Handshakes;
  std::unordered_map<std::string, TimePoint> Failures;
  std::vector<Connection *> Dirty;
  std::vector<Connection *> Cut;
  std::array<char, ReadBlock> Scratch{};
};

namespace {

TimePoint now() { return readNow().Steady; }

/// Marks a connection as ended. It is closed, and its callback called, from the loop, so that no
/// caller loses the connection it is working on.
void cut(Connection &c, CutReason reason) {
  if (c.Cut != CutReason::None)
    return;
  c.Cut = reason;
  PeerTransport &t = *c.Transport;
  ev_io_stop(t.Loop, &c.Io);
  t.Cut.push_back(&c);
  std::erase(t.Handshakes, &c);
  if (!ev_is_active(&t.Reap)) {
    ev_timer_set(&t.Reap, 0.0, 0.0);
    ev_timer_start(t.Loop, &t.Reap);
  }
}

void markDirty(Connection &c) {
  if (c.Dirty || c.Cut != CutReason::None)
    return;
  c.Dirty = true;
  c.Transport->Dirty.push_back(&c);
}

void watchFor(Connection &c, int events) {
  if (ev_is_active(&c.Io) && (c.Io.events & (EV_READ | EV_WRITE)) == events)
    return;
  ev_io_stop(c.Transport->Loop, &c.Io);
  ev_io_set(&c.Io, c.Fd, events);
  ev_io_start(c.Transport->Loop, &c.Io);
}

std::size_t frameSize(std::string_view at) {
  std::size_t n = 0;
  for (std::size_t i = 0; i < wire::PrefixSize; ++i)
    n = n << 8 | static_cast<unsigned char>(at[i]);
  return n + wire::PrefixSize;
}

/// Position of the first frame in `bytes`, from `from` on, that ends after `taken`.
std::size_t frameAt(std::string_view bytes, std::size_t from, std::size_t taken) {
  while (from < bytes.size() && from + frameSize(bytes.substr(from)) <= taken)
    from += frameSize(bytes.substr(from));
  return from;
}

std::uint64_t countFrames(std::string_view bytes, std::size_t from) {
  std::uint64_t n = 0;
  for (; from < bytes.size(); from += frameSize(bytes.substr(from)))
    ++n;
  return n;
}

std::uint64_t unsentMessages(const Connection &c) {
  return countFrames(c.Out, frameAt(c.Out, c.HandshakeBytes, c.OutTaken)) +
         countFrames(c.Pending, 0);
}

/// Drops the written frames at the front, so that Out always starts with a whole frame.
void compact(Connection &c) {
  if (c.OutTaken == c.Out.size()) {
    c.Out.clear();
    if (c.Out.capacity() > KeptCapacity)
      c.Out.shrink_to_fit();
    c.OutTaken = c.HandshakeBytes = 0;
  } else if (c.OutTaken >= CompactBlock && c.OutTaken > c.HandshakeBytes) {
    const std::size_t at = frameAt(c.Out, c.HandshakeBytes, c.OutTaken);
    c.Out.erase(0, at);
    c.OutTaken -= at;
    c.HandshakeBytes = 0;
  }
}

void flush(Connection &c) {
  if (c.Cut != CutReason::None || c.At == Stage::Waiting || c.At == Stage::Connecting)
    return;
  PeerCounters &counters = c.Transport->Counters;
  while (c.OutTaken < c.Out.size()) {
    const ssize_t n =
        ::send(c.Fd, c.Out.data() + c.OutTaken, c.Out.size() - c.OutTaken, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      if (!std::exchange(c.Stalled, true))
        c.StallStart = now();
      watchFor(c, EV_READ | EV_WRITE);
      compact(c);
      return;
    }
    if (n < 0)
      return cut(c, CutReason::Lost);
    ++counters.Writes;
    counters.BytesSent += static_cast<std::uint64_t>(n);
    c.OutTaken += static_cast<std::size_t>(n);
    c.Stalled = false;
  }
  compact(c);
  watchFor(c, EV_READ);
}

void enqueueHandshake(Connection &c, std::string_view frame) {
  c.Out += frame;
  c.HandshakeBytes += frame.size();
  markDirty(c);
}

void sendHello(Connection &c) {
  const PeerTransport &t = *c.Transport;
  const std::string frame = wire::encodeHello({.Node = t.Options.Self,
                                               .DataCentre = t.Options.DataCentre,
                                               .PeerAddress = t.Address,
                                               .Nonce = randomNonce(wire::NonceSize)});
  c.OwnHello = frame.substr(wire::PrefixSize);
  enqueueHandshake(c, frame);
}

std::string macOf(const Connection &c, PeerRole role) {
  const bool connecting = c.Role == PeerRole::Connecting;
  return peerMac(c.Transport->Options.Secret, role, connecting ? c.OwnHello : c.PeerHello,
                 connecting ? c.PeerHello : c.OwnHello);
}

void becomeReady(Connection &c) {
  c.At = Stage::Ready;
  std::erase(c.Transport->Handshakes, &c);
  c.Reader.Limit = wire::MaxPayloadSize;
  c.OwnHello.clear();
  c.PeerHello.clear();
  if (!c.Pending.empty()) {
    c.Out += c.Pending;
    c.Pending = std::string();
    markDirty(c);
  }
}

/// The connecting side sends Hello first. Each side proves itself once it has the other's Hello.
void takeHello(Connection &c, std::string_view payload) {
  Result<wire::Hello> hello = wire::decodeHello(payload);
  if (!hello)
    return cut(c, CutReason::BadFrame);
  if (hello->Nonce.size() != wire::NonceSize || c.OwnHello.empty())
    return cut(c, CutReason::AuthFailed);
  c.PeerHello = payload;
  c.Peer = std::move(*hello);
  c.At = Stage::Auth;
  enqueueHandshake(c, wire::encodeAuth({macOf(c, c.Role)}));
}

void takeAuth(Connection &c, std::string_view payload) {
  const Result<wire::Auth> auth = wire::decodeAuth(payload);
  if (!auth)
    return cut(c, CutReason::BadFrame);
  const PeerRole other =
      c.Role == PeerRole::Connecting ? PeerRole::Accepting : PeerRole::Connecting;
  if (!equalInConstantTime(auth->Mac, macOf(c, other)))
    return cut(c, CutReason::AuthFailed);
  becomeReady(c);
}

void takeMessage(Connection &c, std::string_view payload) {
  // Messages travel only from the side that connected.
  if (c.Role == PeerRole::Connecting)
    return cut(c, CutReason::BadFrame);
  Result<message::Message> m = wire::decode(payload);
  if (!m)
    return cut(c, CutReason::BadFrame);
  PeerTransport &t = *c.Transport;
  ++t.Counters.MessagesReceived;
  if (t.Callbacks.OnMessage)
    t.Callbacks.OnMessage(c.Peer.Node, c.Peer.PeerAddress, std::move(*m));
}

void takeFrames(Connection &c) {
  bool any = false;
  while (c.Cut == CutReason::None) {
    const auto payload = wire::takeFrame(c.Reader);
    if (!payload)
      return cut(c, CutReason::TooLarge);
    if (!*payload)
      break;
    any = true;
    if (c.At == Stage::Hello)
      takeHello(c, **payload);
    else if (c.At == Stage::Auth)
      takeAuth(c, **payload);
    else
      takeMessage(c, **payload);
  }
  const bool partial = wire::hasPartialFrame(c.Reader);
  if (partial && (any || !c.FramePartial))
    c.FrameStart = c.LastUse;
  c.FramePartial = partial;
}

void receive(Connection &c) {
  PeerTransport &t = *c.Transport;
  const ssize_t n = ::recv(c.Fd, t.Scratch.data(), t.Scratch.size(), 0);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (n <= 0)
    return cut(c, c.At == Stage::Connecting ? CutReason::ConnectFailed : CutReason::Lost);
  t.Counters.BytesReceived += static_cast<std::uint64_t>(n);
  c.LastUse = now();
  wire::feed(c.Reader, {t.Scratch.data(), static_cast<std::size_t>(n)});
  takeFrames(c);
}

void connected(Connection &c) {
  int error = 0;
  socklen_t size = sizeof(error);
  if (getsockopt(c.Fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    return cut(c, CutReason::ConnectFailed);
  ++c.Transport->Counters.ConnectionsOpened;
  c.At = Stage::Hello;
  c.StageStart = now();
  watchFor(c, EV_READ);
  sendHello(c);
}

void onSocket(struct ev_loop *, ev_io *w, int events) {
  auto &c = *static_cast<Connection *>(w->data);
  if (c.Cut != CutReason::None)
    return;
  if (c.At == Stage::Connecting)
    return connected(c);
  if ((events & EV_READ) != 0)
    receive(c);
  if ((events & EV_WRITE) != 0 && c.Cut == CutReason::None)
    flush(c);
}

void attach(Connection &c, int fd) {
  detectSilentPeer(fd, c.Transport->Options.SlowWriteTimeout);
  c.Fd = fd;
  c.Reader.Limit = HandshakeLimit;
  ev_io_init(&c.Io, onSocket, fd, EV_READ);
  c.Io.data = &c;
  ++c.Transport->Counters.ConnectionsOpen;
}

void connect(Connection &c) {
  c.StageStart = now();
  c.At = Stage::Connecting;
  const auto address = parseAddress(c.Address);
  if (!address)
    return cut(c, CutReason::ConnectFailed);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return cut(c, CutReason::ConnectFailed);
  attach(c, fd);
  if (::connect(fd, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0 &&
      errno != EINPROGRESS)
    return cut(c, CutReason::ConnectFailed);
  watchFor(c, EV_WRITE);
}

void acceptOne(PeerTransport &t, int fd) {
  if (t.Incoming.size() >= t.Options.MaxAccepted) {
    ++t.Counters.ConnectionsOverBound;
    close(fd);
    return;
  }
  if (!t.Handshakes.empty() && t.Handshakes.size() >= t.Options.MaxHandshakes)
    cut(*t.Handshakes.front(), CutReason::TooManyHandshakes);
  auto owned = std::make_unique<Connection>();
  Connection &c = *owned;
  c.Transport = &t;
  c.Role = PeerRole::Accepting;
  c.At = Stage::Hello;
  c.LastUse = c.StageStart = now();
  t.Incoming.emplace(&c, std::move(owned));
  t.Handshakes.push_back(&c);
  ++t.Counters.ConnectionsAccepted;
  attach(c, fd);
  watchFor(c, EV_READ);
  sendHello(c);
}

void onAccept(struct ev_loop *, ev_io *w, int) {
  auto &t = *static_cast<PeerTransport *>(w->data);
  for (int i = 0; i < 64; ++i) {
    const int fd = accept4(t.Listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      acceptOne(t, fd);
      continue;
    }
    // Without a free descriptor the listener would stay readable and the loop would spin; the next
    // sweep starts it again.
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
      ev_io_stop(t.Loop, w);
    return;
  }
}

void count(PeerCounters &counters, const Connection &c) {
  switch (c.Cut) {
  case CutReason::None:
    break;
  case CutReason::Idle:
    ++counters.ConnectionsClosedIdle;
    break;
  case CutReason::ConnectFailed:
    ++counters.ConnectsFailed;
    break;
  case CutReason::Lost:
    ++counters.ConnectionsLost;
    break;
  case CutReason::BadFrame:
    ++counters.CutBadFrame;
    break;
  case CutReason::TooLarge:
    ++counters.CutTooLarge;
    break;
  case CutReason::AuthFailed:
    ++counters.CutAuthFailed;
    break;
  case CutReason::TooSlow:
    ++counters.CutTooSlow;
    break;
  case CutReason::QueueFull:
    ++counters.CutQueueFull;
    break;
  case CutReason::TooManyHandshakes:
    ++counters.CutTooManyHandshakes;
    break;
  }
}

void closeSocket(Connection &c) {
  if (c.Fd < 0)
    return;
  ev_io_stop(c.Transport->Loop, &c.Io);
  close(c.Fd);
  c.Fd = -1;
  --c.Transport->Counters.ConnectionsOpen;
}

void reap(PeerTransport &t) {
  std::vector<std::string> unreachable;
  for (Connection *it : std::exchange(t.Cut, {})) {
    Connection &c = *it;
    count(t.Counters, c);
    t.Counters.MessagesDropped += unsentMessages(c);
    closeSocket(c);
    std::erase(t.Dirty, &c);
    if (c.Role == PeerRole::Accepting) {
      t.Incoming.erase(&c);
      continue;
    }
    if (c.Cut != CutReason::Idle) {
      t.Failures[c.Address] = now();
      unreachable.push_back(c.Address);
    }
    const std::string address = c.Address;
    t.Outgoing.erase(address);
  }
  if (t.Callbacks.OnUnreachable)
    for (const std::string &it : unreachable)
      t.Callbacks.OnUnreachable(it);
}

void sweepOne(Connection &c, TimePoint at) {
  const PeerTransportOptions &options = c.Transport->Options;
  if (c.Cut != CutReason::None)
    return;
  const bool connecting = c.Role == PeerRole::Connecting;
  if (c.At == Stage::Waiting) {
    if (at >= c.StageStart)
      connect(c);
  } else if (c.At == Stage::Connecting) {
    if (at - c.StageStart > options.ConnectTimeout)
      cut(c, CutReason::ConnectFailed);
  } else if (c.At != Stage::Ready) {
    if (at - c.StageStart > options.SlowReadTimeout)
      cut(c, CutReason::TooSlow);
  } else if ((c.FramePartial && at - c.FrameStart > options.SlowReadTimeout) ||
             (c.Stalled && at - c.StallStart > options.SlowWriteTimeout)) {
    cut(c, CutReason::TooSlow);
  } else if (c.Out.empty() && at - c.LastUse > options.IdleClose * (connecting ? 1 : 2)) {
    cut(c, CutReason::Idle);
  }
}

void sweep(PeerTransport &t) {
  const TimePoint at = now();
  for (auto &[address, c] : t.Outgoing)
    sweepOne(*c, at);
  for (auto &[key, c] : t.Incoming)
    sweepOne(*c, at);
  // At once, so that no message is queued on a connection that was closed as idle.
  reap(t);
  std::erase_if(t.Failures,
                [&](const auto &it) { return at - it.second > t.Options.ReconnectDelay; });
  if (t.Listener >= 0 && !ev_is_active(&t.Accept))
    ev_io_start(t.Loop, &t.Accept);
}

Duration sweepPeriod(const PeerTransportOptions &o) {
  const auto shortest = std::min(
      {o.IdleClose, o.ConnectTimeout, o.SlowReadTimeout, o.SlowWriteTimeout, o.ReconnectDelay * 4});
  return std::clamp<Duration>(Duration(shortest) / 4, std::chrono::milliseconds(2),
                              std::chrono::milliseconds(50));
}

void startWatchers(PeerTransport &t) {
  t.Accept.data = t.Prepare.data = t.Sweep.data = t.Reap.data = &t;
  ev_io_init(&t.Accept, onAccept, t.Listener, EV_READ);
  ev_prepare_init(&t.Prepare, [](struct ev_loop *, ev_prepare *w, int) {
    for (Connection *c : std::exchange(static_cast<PeerTransport *>(w->data)->Dirty, {})) {
      c->Dirty = false;
      flush(*c);
    }
  });
  // Runs after the other prepare watchers, whose callbacks may send, and calls nothing itself.
  ev_set_priority(&t.Prepare, EV_MINPRI);
  const double period = std::chrono::duration<double>(sweepPeriod(t.Options)).count();
  ev_timer_init(
      &t.Sweep,
      [](struct ev_loop *, ev_timer *w, int) { sweep(*static_cast<PeerTransport *>(w->data)); },
      period, period);
  ev_timer_init(
      &t.Reap,
      [](struct ev_loop *, ev_timer *w, int) { reap(*static_cast<PeerTransport *>(w->data)); }, 0.0,
      0.0);
  ev_io_start(t.Loop, &t.Accept);
  ev_prepare_start(t.Loop, &t.Prepare);
  ev_timer_start(t.Loop, &t.Sweep);
}

Result<int> listenOn(const std::string &text) {
  const auto address = parseAddress(text);
  if (!address)
    return fail(ResultCode::BadSetting, "not an IPv4 address with port: " + text);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
      bind(fd, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0 ||
      listen(fd, 1024) != 0) {
    if (fd >= 0)
      close(fd);
    return fail(ResultCode::BadSetting, "cannot listen on " + text);
  }
  return fd;
}

Connection &connectionTo(PeerTransport &t, const std::string &address) {
  if (const auto it = t.Outgoing.find(address); it != t.Outgoing.end())
    return *it->second;
  auto owned = std::make_unique<Connection>();
  Connection &c = *owned;
  c.Transport = &t;
  c.Address = address;
  c.LastUse = c.StageStart = now();
  t.Outgoing.emplace(address, std::move(owned));
  const auto failure = t.Failures.find(address);
  if (failure != t.Failures.end() && c.LastUse - failure->second < t.Options.ReconnectDelay)
    c.StageStart = failure->second + t.Options.ReconnectDelay;
  else
    connect(c);
  return c;
}

} // namespace

Result<PeerTransportPtr> startPeerTransport(Loop &loop, PeerTransportOptions options,
                                            PeerCallbacks callbacks) {
  if (options.Secret.empty())
    return fail(ResultCode::BadSetting, "the secret shared by the peers is empty");
  const Result<int> fd = listenOn(options.Listen);
  if (!fd)
    return tl::make_unexpected(fd.error());
  PeerTransportPtr t(new PeerTransport);
  t->Options = std::move(options);
  t->Callbacks = std::move(callbacks);
  t->Loop = loop.Raw.get();
  t->Listener = *fd;
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(*fd, reinterpret_cast<sockaddr *>(&bound), &size);
  t->Address = t->Options.Advertise.empty() ? formatAddress(bound) : t->Options.Advertise;
  startWatchers(*t);
  return t;
}

void PeerTransportDeleter::operator()(PeerTransport *transport) const {
  PeerTransport &t = *transport;
  stopListening(t);
  ev_prepare_stop(t.Loop, &t.Prepare);
  ev_timer_stop(t.Loop, &t.Sweep);
  ev_timer_stop(t.Loop, &t.Reap);
  for (auto &[address, c] : t.Outgoing)
    closeSocket(*c);
  for (auto &[key, c] : t.Incoming)
    closeSocket(*c);
  delete transport;
}

void send(PeerTransport &transport, const std::string &peerAddress, const message::Message &m) {
  const std::string frame = wire::encode(m);
  if (frame.size() > wire::MaxPayloadSize + wire::PrefixSize) {
    ++transport.Counters.MessagesTooLarge;
    return;
  }
  Connection &c = connectionTo(transport, peerAddress);
  ++transport.Counters.MessagesSent;
  const std::size_t queued = c.Out.size() - c.OutTaken + c.Pending.size();
  if (c.Cut != CutReason::None || queued + frame.size() > transport.Options.SendQueueBound) {
    // Counted here because the frame is in neither queue.
    ++transport.Counters.MessagesDropped;
    return cut(c, CutReason::QueueFull);
  }
  c.LastUse = now();
  if (c.At != Stage::Ready) {
    c.Pending += frame;
    return;
  }
  c.Out += frame;
  markDirty(c);
}

const std::string &peerAddress(const PeerTransport &transport) { return transport.Address; }

const PeerCounters &counters(const PeerTransport &transport) { return transport.Counters; }

std::size_t queuedBytes(const PeerTransport &transport, const std::string &peerAddress) {
  const auto it = transport.Outgoing.find(peerAddress);
  return it == transport.Outgoing.end()
             ? 0
             : it->second->Out.size() - it->second->OutTaken + it->second->Pending.size();
}

void stopListening(PeerTransport &transport) {
  if (transport.Listener < 0)
    return;
  ev_io_stop(transport.Loop, &transport.Accept);
  close(transport.Listener);
  transport.Listener = -1;
}

} // namespace chervil::net
