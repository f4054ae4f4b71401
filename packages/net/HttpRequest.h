// A received HTTP request with its whole body.
#ifndef CHERVIL_NET_HTTPREQUEST_H
#define CHERVIL_NET_HTTPREQUEST_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervil::net {

using NamedValues = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  /// Handle for responding; unique within a server.
  std::uint64_t Id = 0;
  std::string Method;
  std::string Path;
  NamedValues Query;
  /// Names in lower case.
  NamedValues Headers;
  std::string Body;
  /// True if the body was larger than the server's limit; Body is then empty.
  bool BodyTooLarge = false;
};

/// First value of a header (name in lower case).
std::optional<std::string_view> header(const HttpRequest &request, std::string_view name);

/// First value of a query parameter.
std::optional<std::string_view> query(const HttpRequest &request, std::string_view name);

} // namespace chervil::net

#endif
