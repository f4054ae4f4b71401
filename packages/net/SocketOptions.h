// Options and state of TCP connections on which a peer may go silent.
#ifndef CHERVIL_NET_SOCKETOPTIONS_H
#define CHERVIL_NET_SOCKETOPTIONS_H

#include <chrono>

namespace chervil::net {

/// Sends small messages without delay, and ends the connection if the peer goes silent without a
/// reset, as behind a cut network or after a loss of power: an idle one within a few seconds, one
/// with bytes under way when none of them is acknowledged for `unacknowledged`.
void detectSilentPeer(int fd, std::chrono::milliseconds unacknowledged);

/// Bytes that were written to the connection and that the peer's system has not acknowledged, the
/// unsent ones among them. While there are any, an orderly end from the peer may be followed by a
/// reset.
int unacknowledgedBytes(int fd);

} // namespace chervil::net

#endif
