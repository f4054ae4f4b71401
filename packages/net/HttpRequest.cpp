#include "net/HttpRequest.h"

namespace chervil::net {
namespace {

std::optional<std::string_view> find(const NamedValues &values, std::string_view name) {
  for (const auto &[key, value] : values)
    if (key == name)
      return value;
  return std::nullopt;
}

} // namespace

std::optional<std::string_view> header(const HttpRequest &request, std::string_view name) {
  return find(request.Headers, name);
}

std::optional<std::string_view> query(const HttpRequest &request, std::string_view name) {
  return find(request.Query, name);
}

} // namespace chervil::net
