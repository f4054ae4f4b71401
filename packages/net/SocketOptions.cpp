#include "net/SocketOptions.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace chervil::net {
namespace {

constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

template <typename T> void setOption(int fd, int level, int option, T value) {
  (void)setsockopt(fd, level, option, &value, sizeof(value));
}

} // namespace

void detectSilentPeer(int fd, std::chrono::milliseconds unacknowledged) {
  setOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(fd, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<unsigned>(unacknowledged.count()));
}

int unacknowledgedBytes(int fd) {
  int n = 0;
  return ioctl(fd, SIOCOUTQ, &n) == 0 ? n : 0;
}

} // namespace chervil::net
