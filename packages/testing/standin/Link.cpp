#include "testing/standin/Link.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace chervil::standin {
namespace {

/// Reading pauses while this much waits in one direction.
constexpr std::size_t MaxWaiting = 1 << 20;
constexpr std::size_t ReadBlock = 64 * 1024;

std::optional<sockaddr_in> parseAddress(const std::string &text) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  if (colon == std::string::npos ||
      std::from_chars(text.data() + colon + 1, text.data() + text.size(), port).ec != std::errc{} ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
    return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

void closePair(LinkPair &pair) {
  Link &link = *pair.Owner;
  for (LinkFlow &it : pair.Flows) {
    ev_io_stop(link.Raw, &it.Readable);
    ev_io_stop(link.Raw, &it.Writable);
  }
  for (const LinkFlow &it : pair.Flows)
    close(it.From);
  link.Pairs.erase(pair.Id);
}

/// Ends both connections with a reset, as a lost path or a refused connection does.
void resetPair(LinkPair &pair) {
  const linger noLinger{1, 0};
  for (const LinkFlow &it : pair.Flows)
    setsockopt(it.From, SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
  closePair(pair);
}

void flush(LinkFlow &flow);

void scheduleFlush(LinkFlow &flow) {
  Link &link = *flow.Pair->Owner;
  const Duration wait = flow.Chunks.back().Due - net::readNow().Steady;
  const std::size_t side = &flow == flow.Pair->Flows.data() ? 0 : 1;
  net::after(link.Timers, std::max(wait, Duration::zero()), [&link, id = flow.Pair->Id, side] {
    if (const auto it = link.Pairs.find(id); it != link.Pairs.end())
      flush(it->second->Flows.at(side));
  });
}

void take(LinkFlow &flow) {
  Link &link = *flow.Pair->Owner;
  std::string bytes(ReadBlock, '\0');
  const ssize_t n = read(flow.From, bytes.data(), bytes.size());
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    return resetPair(*flow.Pair);
  bytes.resize(static_cast<std::size_t>(n));
  link.Bytes += bytes.size();
  flow.Waiting += bytes.size();
  flow.Ended = bytes.empty();
  flow.Chunks.push_back({net::readNow().Steady + link.Options.Delay, std::move(bytes)});
  if (flow.Ended || flow.Waiting >= MaxWaiting)
    ev_io_stop(link.Raw, &flow.Readable);
  scheduleFlush(flow);
}

/// Writes what is due. The pair may be gone afterwards.
void flush(LinkFlow &flow) {
  Link &link = *flow.Pair->Owner;
  const TimePoint now = net::readNow().Steady;
  ev_io_stop(link.Raw, &flow.Writable);
  while (!link.Stalled && flow.Pair->Connected && !flow.Chunks.empty() &&
         flow.Chunks.front().Due <= now) {
    std::string &bytes = flow.Chunks.front().Bytes;
    if (bytes.empty()) {
      shutdown(flow.To, SHUT_WR);
      flow.Chunks.pop_front();
      const bool over = std::ranges::all_of(
          flow.Pair->Flows, [](const LinkFlow &it) { return it.Ended && it.Chunks.empty(); });
      if (over)
        closePair(*flow.Pair);
      return;
    }
    const ssize_t n = send(flow.To, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
      ev_io_start(link.Raw, &flow.Writable);
      return;
    }
    if (n < 0)
      return resetPair(*flow.Pair);
    flow.Waiting -= static_cast<std::size_t>(n);
    bytes.erase(0, static_cast<std::size_t>(n));
    if (bytes.empty())
      flow.Chunks.pop_front();
  }
  if (!flow.Ended && !link.Stalled && flow.Waiting < MaxWaiting)
    ev_io_start(link.Raw, &flow.Readable);
}

void connected(LinkPair &pair) {
  int error = 0;
  socklen_t size = sizeof(error);
  getsockopt(pair.Flows[0].To, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    return resetPair(pair);
  pair.Connected = true;
  Link &link = *pair.Owner;
  if (!link.Stalled)
    ev_io_start(link.Raw, &pair.Flows[1].Readable);
  flush(pair.Flows[0]);
}

void onReadable(struct ev_loop *, ev_io *w, int) { take(*static_cast<LinkFlow *>(w->data)); }

void onWritable(struct ev_loop *, ev_io *w, int) {
  LinkFlow &flow = *static_cast<LinkFlow *>(w->data);
  if (!flow.Pair->Connected) {
    ev_io_stop(flow.Pair->Owner->Raw, w);
    return connected(*flow.Pair);
  }
  flush(flow);
}

void open(Link &link, int client) {
  const auto target = parseAddress(link.Options.To);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  auto pair = std::make_unique<LinkPair>();
  pair->Owner = &link;
  pair->Id = link.NextId++;
  LinkPair &it = *pair;
  link.Pairs.emplace(it.Id, std::move(pair));
  const std::array<int, 2> ends = {client, fd};
  for (std::size_t i = 0; i < ends.size(); ++i) {
    LinkFlow &flow = it.Flows.at(i);
    flow.Pair = &it;
    flow.From = ends.at(i);
    flow.To = ends.at(1 - i);
    ev_io_init(&flow.Readable, onReadable, flow.From, EV_READ);
    ev_io_init(&flow.Writable, onWritable, flow.To, EV_WRITE);
    flow.Readable.data = flow.Writable.data = &flow;
  }
  if (connect(fd, reinterpret_cast<const sockaddr *>(&*target), sizeof(*target)) != 0 &&
      errno != EINPROGRESS)
    return resetPair(it);
  ev_io_start(link.Raw, &it.Flows[0].Writable);
  if (!link.Stalled)
    ev_io_start(link.Raw, &it.Flows[0].Readable);
}

Result<int> listenOn(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  constexpr int backlog = 1024;
  if (bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 ||
      listen(fd, backlog) != 0) {
    close(fd);
    return fail(ResultCode::BadSetting,
                "cannot listen on port " + std::to_string(port) + ": " + std::strerror(errno));
  }
  return fd;
}

bool startListening(Link &link) {
  const auto fd = listenOn(link.Options.Listen);
  if (!fd)
    return false;
  link.Listener = *fd;
  ev_io_init(
      &link.Acceptable,
      [](struct ev_loop *, ev_io *w, int) {
        Link &it = *static_cast<Link *>(w->data);
        const int client = accept4(w->fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client >= 0)
          open(it, client);
      },
      link.Listener, EV_READ);
  link.Acceptable.data = &link;
  ev_io_start(link.Raw, &link.Acceptable);
  return true;
}

void stopListening(Link &link) {
  if (link.Listener < 0)
    return;
  ev_io_stop(link.Raw, &link.Acceptable);
  close(link.Listener);
  link.Listener = -1;
}

void closeAll(Link &link) {
  while (!link.Pairs.empty())
    resetPair(*link.Pairs.begin()->second);
}

} // namespace

void LinkDeleter::operator()(Link *link) const {
  closeAll(*link);
  stopListening(*link);
  delete link;
}

Result<LinkPtr> startLink(net::Loop &loop, net::TimerService &timers, LinkOptions options) {
  LinkPtr link(new Link(loop, timers));
  link->Options = std::move(options);
  if (!parseAddress(link->Options.To))
    return fail(ResultCode::BadSetting, "not ip:port: " + link->Options.To);
  if (!startListening(*link))
    return fail(ResultCode::BadSetting,
                "cannot listen on port " + std::to_string(link->Options.Listen));
  // A route that is cut and restored keeps its port.
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(link->Listener, reinterpret_cast<sockaddr *>(&address), &size);
  link->Options.Listen = ntohs(address.sin_port);
  return link;
}

void setCut(Link &link, bool on) {
  link.Cut = on;
  if (on) {
    stopListening(link);
    closeAll(link);
  } else if (link.Listener < 0) {
    startListening(link);
  }
}

void setStalled(Link &link, bool on) {
  link.Stalled = on;
  std::vector<std::uint64_t> ids;
  for (const auto &[id, pair] : link.Pairs)
    ids.push_back(id);
  for (const std::uint64_t id : ids)
    for (std::size_t side = 0; side < 2; ++side) {
      const auto it = link.Pairs.find(id);
      if (it == link.Pairs.end())
        break;
      LinkFlow &flow = it->second->Flows.at(side);
      if (on)
        ev_io_stop(link.Raw, &flow.Readable);
      else if (it->second->Connected)
        flush(flow);
      else if (side == 0)
        ev_io_start(link.Raw, &flow.Readable);
    }
}

} // namespace chervil::standin
