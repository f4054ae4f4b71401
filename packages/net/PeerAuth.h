// Proof that a peer knows the shared secret. Use:
//   std::string mac = peerMac(secret, PeerRole::Connecting, myHello, theirHello);
//   if (!equalInConstantTime(mac, auth.Mac)) ...
#ifndef CHERVIL_NET_PEERAUTH_H
#define CHERVIL_NET_PEERAUTH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace chervil::net {

/// The side that computes a proof. It enters the proof, so that one side's proof cannot be sent
/// back to it as the other's.
enum class PeerRole : std::uint8_t { Connecting, Accepting };

/// HMAC-SHA256 over the role and both Hello payloads as sent, which contain both nonces and both
/// identities. Empty if the library fails; an empty proof is never accepted.
std::string peerMac(std::string_view secret, PeerRole role, std::string_view connectingHello,
                    std::string_view acceptingHello);

/// False for empty values and for different sizes.
bool equalInConstantTime(std::string_view a, std::string_view b);

/// Random bytes of nonce quality; empty if the system has none.
std::string randomNonce(std::size_t size);

} // namespace chervil::net

#endif
