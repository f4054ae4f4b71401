// IPv4 socket addresses in text form. Use:
//   std::optional<sockaddr_in> a = parseAddress("10.0.0.1:7000");
#ifndef CHERVIL_NET_SOCKETADDRESS_H
#define CHERVIL_NET_SOCKETADDRESS_H

#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::net {

/// Nothing unless `text` is a dotted IPv4 address, a colon and a port of 0..65535.
std::optional<sockaddr_in> parseAddress(std::string_view text);

/// The inverse of parseAddress().
std::string formatAddress(const sockaddr_in &address);

/// The IP address alone.
std::string formatIp(const sockaddr_in &address);

} // namespace chervil::net

#endif
