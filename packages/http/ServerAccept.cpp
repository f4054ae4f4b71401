// Accepting of connections, and its bounds.
#include "http/ServerDetail.h"

#include "http/Socket.h"
#include "net/SocketAddress.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace chervil::http::detail {
namespace {

/// Stops accepting until the next sweep. A descriptor that cannot be had would otherwise wake the
/// loop again and again.
void pauseAccept(Server &server) {
  ev_io_stop(server.Loop->Raw.get(), &server.Accept);
  server.AcceptPaused = true;
}

bool hasConnectionFor(const Server &server, const std::string &address) {
  const auto it = server.ConnectionsByAddress.find(address);
  return it == server.ConnectionsByAddress.end() ||
         it->second < server.Options.MaxConnectionsPerAddress;
}

} // namespace

void acceptWaiting(Server &server) {
  for (;;) {
    if (server.Options.MayAccept && !server.Options.MayAccept()) {
      pauseAccept(server);
      return;
    }
    sockaddr_in from{};
    socklen_t n = sizeof(from);
    const int fd =
        accept4(server.Fd, reinterpret_cast<sockaddr *>(&from), &n, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (fd < 0) {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)
        pauseAccept(server);
      return;
    }
    const std::string address = net::formatIp(from);
    const bool isFull = server.Connections.size() >= server.Options.MaxConnections;
    if (isFull || !hasConnectionFor(server, address)) {
      if (server.Events.OnShed)
        server.Events.OnShed(address, Shed::TooManyConnections);
      close(fd);
      continue;
    }
    prepareSocket(fd);
    auto it = std::make_unique<Connection>();
    it->Owner = &server;
    it->Fd = fd;
    it->Address = address;
    ++server.ConnectionsByAddress[address];
    it->Since = now();
    ev_io_init(
        &it->ReadWatcher,
        [](struct ev_loop *, ev_io *w, int) { onReadEvent(*static_cast<Connection *>(w->data)); },
        fd, EV_READ);
    ev_io_init(
        &it->WriteWatcher,
        [](struct ev_loop *, ev_io *w, int) { onWritable(*static_cast<Connection *>(w->data)); },
        fd, EV_WRITE);
    it->ReadWatcher.data = it->WriteWatcher.data = it.get();
    ev_io_start(server.Loop->Raw.get(), &it->ReadWatcher);
    charge(*it);
    server.Connections.emplace(it.get(), std::move(it));
  }
}

void resumeAccepting(Server &server) {
  if (!server.AcceptPaused || server.Fd < 0)
    return;
  server.AcceptPaused = false;
  ev_io_start(server.Loop->Raw.get(), &server.Accept);
}

} // namespace chervil::http::detail
