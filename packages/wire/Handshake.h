// The two handshake frames that each side of a connection between nodes sends before any message.
// Use:
//   std::string frame = encodeHello({self, "pamplona", "10.0.0.1:7000", nonce});
//   Result<Hello> hello = decodeHello(payload);
#ifndef CHERVIL_WIRE_HANDSHAKE_H
#define CHERVIL_WIRE_HANDSHAKE_H

#include "base/Error.h"
#include "base/NodeId.h"

#include <string>
#include <string_view>

namespace chervil::wire {

/// Type numbers of the handshake frames; they are above those of message::Message.
constexpr std::uint8_t HelloType = 120;
constexpr std::uint8_t AuthType = 121;

/// Size of the nonce of Hello in bytes.
constexpr std::size_t NonceSize = 32;

/// First frame in each direction: identifies the sender.
struct Hello {
  NodeId Node;
  std::string DataCentre;
  /// "ip:port" at which the sender accepts connections from peers.
  std::string PeerAddress;
  /// Random bytes, fresh for each connection.
  std::string Nonce;
};

/// Second frame in each direction: proves that the sender knows the shared secret.
struct Auth {
  /// HMAC-SHA256, 32 bytes.
  std::string Mac;
};

/// Encode a handshake frame, with its length prefix.
std::string encodeHello(const Hello &hello);
std::string encodeAuth(const Auth &auth);

/// Decode a frame without its length prefix. Fail with PeerBadFrame if `payload` is not the
/// expected handshake frame.
Result<Hello> decodeHello(std::string_view payload);
Result<Auth> decodeAuth(std::string_view payload);

} // namespace chervil::wire

#endif
