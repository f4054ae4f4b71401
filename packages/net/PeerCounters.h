// Counters of a PeerTransport; all count from its start.
#ifndef CHERVIL_NET_PEERCOUNTERS_H
#define CHERVIL_NET_PEERCOUNTERS_H

#include <cstddef>
#include <cstdint>

namespace chervil::net {

struct PeerCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  /// Calls of write(); below MessagesSent when messages are combined.
  std::uint64_t Writes = 0;
  /// Messages queued on connections that failed.
  std::uint64_t MessagesDropped = 0;
  /// Messages not sent because they exceed wire::MaxPayloadSize.
  std::uint64_t MessagesTooLarge = 0;

  std::uint64_t ConnectionsOpened = 0;
  std::uint64_t ConnectionsAccepted = 0;
  std::uint64_t ConnectionsClosedIdle = 0;
  /// Refused, timed out, or the address was malformed.
  std::uint64_t ConnectsFailed = 0;
  /// Ended or reset by the other side.
  std::uint64_t ConnectionsLost = 0;
  std::uint64_t ConnectionsOverBound = 0;
  /// Closed during the handshake because of MaxHandshakes.
  std::uint64_t CutTooManyHandshakes = 0;

  /// Connections cut by this side, by reason.
  std::uint64_t CutBadFrame = 0;
  std::uint64_t CutTooLarge = 0;
  std::uint64_t CutAuthFailed = 0;
  std::uint64_t CutTooSlow = 0;
  std::uint64_t CutQueueFull = 0;

  /// Open now, both directions, handshake included.
  std::size_t ConnectionsOpen = 0;
};

} // namespace chervil::net

#endif
