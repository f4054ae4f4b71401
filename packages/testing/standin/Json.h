// Short forms for JSON requests and answers. Use:
//   reply(server, r.Id, 409, {{"revision", 7}});
#ifndef CHERVIL_TESTING_STANDIN_JSON_H
#define CHERVIL_TESTING_STANDIN_JSON_H

#include "net/HttpServer.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::standin {

using Json = nlohmann::json;

/// Text of `json`; bytes that are not UTF-8 are replaced.
inline std::string dump(const Json &json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Nothing unless `text` is a JSON object.
inline std::optional<Json> parseObject(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object())
    return std::nullopt;
  return json;
}

/// Member of an object as T; `missing` when absent or of another type.
template <typename T> T member(const Json &json, const char *name, T missing) {
  const auto it = json.find(name);
  if (it == json.end())
    return missing;
  if constexpr (std::is_same_v<T, bool>) {
    return it->is_boolean() ? it->get<bool>() : missing;
  } else if constexpr (std::is_arithmetic_v<T>) {
    return it->is_number() ? it->get<T>() : missing;
  } else {
    return it->is_string() ? it->get<T>() : missing;
  }
}

inline void reply(net::HttpServer &server, std::uint64_t id, int status, const Json &json,
                  net::NamedValues headers = {}) {
  net::respond(server, id, {.Status = status, .Headers = std::move(headers), .Body = dump(json)});
}

/// A query parameter as a number; `missing` when absent or malformed.
template <typename T> T number(const net::HttpRequest &request, std::string_view name, T missing) {
  const auto text = net::query(request, name);
  if (!text)
    return missing;
  T value{};
  const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
  return ec == std::errc{} && end == text->data() + text->size() ? value : missing;
}

/// A query parameter as text; empty when absent.
inline std::string text(const net::HttpRequest &request, std::string_view name) {
  return std::string(net::query(request, name).value_or(""));
}

} // namespace chervil::standin

#endif
