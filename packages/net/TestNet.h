// A loop and plain sockets for tests of clients and servers.
#ifndef CHERVIL_NET_TESTNET_H
#define CHERVIL_NET_TESTNET_H

#include "net/Loop.h"
#include "net/SocketAddress.h"
#include "net/TimerService.h"

#include <arpa/inet.h>
#include <cerrno>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace chervil::net::test {

/// A blocking connection to a port on this machine.
inline int connectPlain(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address));
  return fd;
}

/// A listening socket on a free port of this machine. Stores its "ip:port".
inline int listenOnLoopback(std::string &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)bind(fd, reinterpret_cast<sockaddr *>(&bound), sizeof(bound));
  (void)listen(fd, 64);
  socklen_t n = sizeof(bound);
  (void)getsockname(fd, reinterpret_cast<sockaddr *>(&bound), &n);
  address = net::formatAddress(bound);
  return fd;
}

inline void sendText(int fd, const std::string &text) {
  (void)!::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
}

/// What has arrived; empty if nothing has.
inline std::string receiveText(int fd) {
  char buf[65536];
  const ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
  return n > 0 ? std::string(buf, static_cast<std::size_t>(n)) : std::string();
}

inline bool isClosed(int fd) {
  char byte = 0;
  const ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return n == 0 || (n < 0 && errno != EAGAIN);
}

/// Sets the receive buffer of a connection, or of those that a listening socket will accept. With
/// the smallest one, a request of some megabytes stays with its sender until it is read.
inline void setReceiveBuffer(int fd, int bytes) {
  (void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

/// Closes a connection with a reset instead of an orderly end.
inline void resetConnection(int fd) {
  const linger now{1, 0};
  (void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(fd);
}

struct Net {
  net::Loop EventLoop;
  net::TimerService Timers{EventLoop};

  /// Runs the loop until the condition holds or the time is over; returns whether it holds.
  bool runUntil(const std::function<bool()> &holds,
                std::chrono::milliseconds within = std::chrono::milliseconds(5000)) {
    const TimePoint end = net::readNow().Steady + within;
    while (!holds()) {
      if (net::readNow().Steady >= end)
        return false;
      net::after(Timers, std::chrono::milliseconds(5), [] {});
      ev_run(EventLoop.Raw.get(), EVRUN_ONCE);
    }
    return true;
  }
};

/// A listening socket whose connections the test answers by hand.
struct ListeningNet : Net {
  int Listener = -1;
  std::string Address;

  ListeningNet() { Listener = listenOnLoopback(Address); }
  ListeningNet(const ListeningNet &) = delete;
  ListeningNet &operator=(const ListeningNet &) = delete;
  ~ListeningNet() { close(Listener); }

  /// Accepts the next connection.
  int take() {
    int fd = -1;
    runUntil([&] { return (fd = accept(Listener, nullptr, nullptr)) >= 0; });
    return fd;
  }

  /// Reads until `text` has arrived; false if it does not.
  bool gets(int fd, const std::string &text) {
    std::string seen;
    return runUntil([&] {
      seen += receiveText(fd);
      return seen.find(text) != std::string::npos;
    });
  }
};

} // namespace chervil::net::test

#endif
