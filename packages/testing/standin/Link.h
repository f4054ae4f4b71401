// TCP relay that adds one-way latency and can be cut or stalled. Use:
//   auto link = startLink(loop, timers, {.Listen = 8001, .To = "127.0.0.1:9001", .Delay = 2ms});
//   setCut(**link, true);
// The delay applies to bytes and ends of connections, not to the handshake: a connection is
// accepted at once. Runs on the loop's thread.
#ifndef CHERVIL_TESTING_STANDIN_LINK_H
#define CHERVIL_TESTING_STANDIN_LINK_H

#include "base/Error.h"
#include "net/TimerService.h"

#include <array>
#include <deque>
#include <ev.h>
#include <memory>
#include <string>
#include <unordered_map>

namespace chervil::standin {

struct LinkOptions {
  std::string Name;
  /// Port on 127.0.0.1; 0 takes a free one.
  std::uint16_t Listen = 0;
  /// ip:port
  std::string To;
  Duration Delay{0};
};

struct Link;

struct LinkChunk {
  TimePoint Due;
  /// Empty for the end of the stream.
  std::string Bytes;
};

struct LinkPair;

/// One direction of a connection.
struct LinkFlow {
  LinkPair *Pair = nullptr;
  int From = -1;
  int To = -1;
  ev_io Readable{};
  ev_io Writable{};
  std::deque<LinkChunk> Chunks;
  std::size_t Waiting = 0;
  bool Ended = false;
};

struct LinkPair {
  Link *Owner = nullptr;
  std::uint64_t Id = 0;
  bool Connected = false;
  std::array<LinkFlow, 2> Flows;
};

struct LinkDeleter {
  void operator()(Link *link) const;
};

struct Link {
  Link(net::Loop &loop, net::TimerService &timers) : Raw(loop.Raw.get()), Timers(timers) {}

  LinkOptions Options;
  struct ev_loop *Raw;
  net::TimerService &Timers;
  int Listener = -1;
  ev_io Acceptable{};
  std::uint64_t NextId = 1;
  std::uint64_t Bytes = 0;
  bool Cut = false;
  bool Stalled = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<LinkPair>> Pairs;
};

using LinkPtr = std::unique_ptr<Link, LinkDeleter>;

/// Listens at once. The loop and the timers must outlive the link.
Result<LinkPtr> startLink(net::Loop &loop, net::TimerService &timers, LinkOptions options);

/// Closes all connections and refuses new ones while on.
void setCut(Link &link, bool on);

/// Keeps connections open and passes nothing while on.
void setStalled(Link &link, bool on);

} // namespace chervil::standin

#endif
