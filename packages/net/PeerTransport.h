// Connections between nodes: authenticated, message-framed TCP on the event loop. Use:
//   auto peers = startPeerTransport(loop, {.Self = id, .Listen = "10.0.0.1:7000", .Secret = s},
//       {.OnMessage = [](const NodeId &from, const std::string &peerAddress,
//                        message::Message &&m) {...},
//        .OnUnreachable = [](const std::string &peerAddress) {...}});
//   send(**peers, "10.0.0.2:7000", message::Ping{...});
// A node sends on the connections it opened and receives on those it accepted. Messages to one
// address arrive in the order sent; those queued on a connection that fails are dropped.
#ifndef CHERVIL_NET_PEERTRANSPORT_H
#define CHERVIL_NET_PEERTRANSPORT_H

#include "base/Error.h"
#include "base/NodeId.h"
#include "message/Message.h"
#include "net/Loop.h"
#include "net/PeerCounters.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervil::net {

struct PeerTransportOptions {
  NodeId Self;
  std::string DataCentre;
  /// IPv4 "ip:port"; port 0 takes a free one.
  std::string Listen = "127.0.0.1:0";
  /// "ip:port" told to peers; the address listened on if empty.
  std::string Advertise;
  /// Shared by all nodes; must not be empty.
  std::string Secret;
  /// A connection opened by this node closes after this time without a message. Accepted ones close
  /// after twice the time, so that the side that opened it, which knows why, closes first.
  std::chrono::milliseconds IdleClose{60'000};
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Bound on the time from the first to the last byte of a frame, and on the handshake.
  std::chrono::milliseconds SlowReadTimeout{5000};
  /// Bound on the time in which a peer with queued messages takes no byte.
  std::chrono::milliseconds SlowWriteTimeout{5000};
  /// After a failure, the next connection to the address waits for this time, so that messages to a
  /// dead node cost at most 20 connection attempts per second.
  std::chrono::milliseconds ReconnectDelay{50};
  /// Bytes queued per address; the connection is cut when they are exceeded.
  std::size_t SendQueueBound = 8 << 20;
  /// Accepted connections beyond this number are closed at once.
  std::size_t MaxAccepted = 4096;
  /// Accepted connections whose peer has not proved itself. Beyond this number the oldest is closed
  /// for a new one, because a peer proves itself within a round trip.
  std::size_t MaxHandshakes = 512;
};

struct PeerCallbacks {
  /// `peerAddress` is the one the sender advertises.
  std::function<void(const NodeId &from, const std::string &peerAddress, message::Message &&m)>
      OnMessage;
  /// A connection opened by this node failed: refused, timed out, cut or closed by the other side.
  /// Called once for each such connection, never from within send().
  std::function<void(const std::string &peerAddress)> OnUnreachable;
};

/// Definition is internal to PeerTransport.cpp.
struct PeerTransport;
struct PeerTransportDeleter {
  void operator()(PeerTransport *transport) const;
};
/// Destroying it closes all connections without callbacks. It must not be destroyed from one.
using PeerTransportPtr = std::unique_ptr<PeerTransport, PeerTransportDeleter>;

/// Listens at once. The loop must outlive the transport. Fails with BadSetting.
Result<PeerTransportPtr> startPeerTransport(Loop &loop, PeerTransportOptions options,
                                            PeerCallbacks callbacks);

/// Queues a message, and opens a connection if there is none. Messages sent in one iteration of the
/// loop are written together. A message above wire::MaxPayloadSize is dropped and counted.
void send(PeerTransport &transport, const std::string &peerAddress, const message::Message &m);

/// The address told to peers.
const std::string &peerAddress(const PeerTransport &transport);

const PeerCounters &counters(const PeerTransport &transport);

/// Bytes queued for an address and not yet handed to the socket.
std::size_t queuedBytes(const PeerTransport &transport, const std::string &peerAddress);

/// Stops accepting connections; open ones continue.
void stopListening(PeerTransport &transport);

} // namespace chervil::net

#endif
