#include "net/PeerAuth.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

namespace chervil::net {
namespace {

constexpr std::size_t MacSize = 32;

/// Appends `part` with its length, so that no two lists of parts give the same bytes.
void append(std::string &to, std::string_view part) {
  for (int shift = 24; shift >= 0; shift -= 8)
    to += static_cast<char>((part.size() >> shift) & 0xff);
  to += part;
}

} // namespace

std::string peerMac(std::string_view secret, PeerRole role, std::string_view connectingHello,
                    std::string_view acceptingHello) {
  std::string text;
  append(text, "chervilcourse peer 1");
  append(text, role == PeerRole::Connecting ? "connecting" : "accepting");
  append(text, connectingHello);
  append(text, acceptingHello);
  std::string mac(MacSize, '\0');
  if (gnutls_hmac_fast(GNUTLS_MAC_SHA256, secret.data(), secret.size(), text.data(), text.size(),
                       mac.data()) != GNUTLS_E_SUCCESS)
    return {};
  return mac;
}

bool equalInConstantTime(std::string_view a, std::string_view b) {
  return !a.empty() && a.size() == b.size() && gnutls_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomNonce(std::size_t size) {
  std::string nonce(size, '\0');
  if (gnutls_rnd(GNUTLS_RND_NONCE, nonce.data(), size) != GNUTLS_E_SUCCESS)
    return {};
  return nonce;
}

} // namespace chervil::net
