#include "http/Socket.h"

#include "net/SocketAddress.h"
#include "net/SocketOptions.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chervil::http {
namespace {

// Well above the longest round trip between regions.
constexpr std::chrono::milliseconds UnacknowledgedTime{2000};
constexpr std::size_t ReadSize = 64 * 1024;
constexpr int Backlog = 512;

template <typename T> void setOption(int fd, int level, int option, T value) {
  (void)setsockopt(fd, level, option, &value, sizeof(value));
}

} // namespace

void prepareSocket(int fd) {
  (void)fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  net::detectSilentPeer(fd, UnacknowledgedTime);
}

Result<int> listenOn(const sockaddr_in &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return fail(ResultCode::BadSetting, "no socket: " + std::string(std::strerror(errno)));
  setOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 ||
      listen(fd, Backlog) != 0) {
    const std::string reason = std::strerror(errno);
    close(fd);
    return fail(ResultCode::BadSetting,
                "cannot listen on " + net::formatAddress(address) + ": " + reason);
  }
  return fd;
}

std::uint16_t boundPort(int fd) {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  if (getsockname(fd, reinterpret_cast<sockaddr *>(&address), &n) != 0)
    return 0;
  return ntohs(address.sin_port);
}

int connectTo(const sockaddr_in &address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return -1;
  prepareSocket(fd);
  if (connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

int takeError(int fd) {
  int error = 0;
  socklen_t n = sizeof(error);
  (void)getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n);
  return error;
}

void setResetOnClose(int fd, bool resets) {
  setOption(fd, SOL_SOCKET, SO_LINGER, linger{resets ? 1 : 0, 0});
}

IoState readSome(int fd, std::string &to) {
  static thread_local char buf[ReadSize];
  const ssize_t n = recv(fd, buf, sizeof(buf), 0);
  if (n > 0) {
    to.append(buf, static_cast<std::size_t>(n));
    return IoState::Ok;
  }
  if (n == 0)
    return IoState::Ended;
  return errno == EAGAIN || errno == EINTR ? IoState::Blocked : IoState::Failed;
}

IoState writeSome(int fd, const std::string &from, std::size_t &offset) {
  while (offset < from.size()) {
    const ssize_t n = send(fd, from.data() + offset, from.size() - offset, MSG_NOSIGNAL);
    if (n < 0)
      return errno == EAGAIN || errno == EINTR ? IoState::Blocked : IoState::Failed;
    offset += static_cast<std::size_t>(n);
  }
  return IoState::Ok;
}

} // namespace chervil::http
