#include "net/SocketAddress.h"

#include <arpa/inet.h>
#include <charconv>

namespace chervil::net {

std::optional<sockaddr_in> parseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &out.sin_addr) != 1)
    return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec != std::errc() || end != digits.data() + digits.size())
    return std::nullopt;
  out.sin_port = htons(port);
  return out;
}

std::string formatAddress(const sockaddr_in &address) {
  return formatIp(address) + ":" + std::to_string(ntohs(address.sin_port));
}

std::string formatIp(const sockaddr_in &address) {
  char buf[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, buf, sizeof(buf));
  return buf;
}

} // namespace chervil::net
