// TCP sockets as the HTTP server and client use them. Use:
//   const int fd = connectTo(address);
#ifndef CHERVIL_HTTP_SOCKET_H
#define CHERVIL_HTTP_SOCKET_H

#include "base/Error.h"

#include <cstddef>
#include <cstdint>
#include <netinet/in.h>
#include <string>

namespace chervil::http {

/// Sets non-blocking mode, no delay, and time-outs that detect a peer that went silent without a
/// reset.
void prepareSocket(int fd);

/// Listens on an address; the descriptor is non-blocking. Fails with BadSetting.
Result<int> listenOn(const sockaddr_in &address);

/// Port a socket is bound to.
std::uint16_t boundPort(int fd);

/// Starts a non-blocking connection; -1 when no socket can be had.
int connectTo(const sockaddr_in &address);

/// Takes the error that the socket has met, as an errno; 0 if there is none.
int takeError(int fd);

/// Determines whether closing the socket resets the connection and discards unsent bytes.
void setResetOnClose(int fd, bool resets);

enum class IoState : std::uint8_t { Ok, Blocked, Ended, Failed };

/// Appends what can be read now, up to a fixed amount per call.
IoState readSome(int fd, std::string &to);

/// Writes from `from`, beginning at `offset`, which is advanced. Ok once all is written.
IoState writeSome(int fd, const std::string &from, std::size_t &offset);

} // namespace chervil::http

#endif
