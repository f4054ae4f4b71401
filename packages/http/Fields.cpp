#include "http/Fields.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace chervil::http {
namespace {

char lower(char c) { return static_cast<char>(std::tolower(static_cast<unsigned char>(c))); }

/// True if a comma-separated list contains the token.
bool listContains(std::string_view list, std::string_view token) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    std::string_view item = list.substr(0, comma);
    while (!item.empty() && item.front() == ' ')
      item.remove_prefix(1);
    while (!item.empty() && item.back() == ' ')
      item.remove_suffix(1);
    if (sameName(item, token))
      return true;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return false;
}

int hexDigit(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  const char l = lower(c);
  return l >= 'a' && l <= 'f' ? l - 'a' + 10 : -1;
}

std::string percentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 &&
        hexDigit(text[i + 2]) >= 0) {
      out.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

} // namespace

bool sameName(std::string_view a, std::string_view b) {
  return std::ranges::equal(a, b, [](char x, char y) { return lower(x) == lower(y); });
}

const std::string *find(const Fields &fields, std::string_view name) {
  for (const auto &[key, value] : fields)
    if (sameName(key, name))
      return &value;
  return nullptr;
}

bool isHopByHop(const Fields &fields, std::string_view name) {
  static constexpr auto names = std::to_array<std::string_view>(
      {"connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization",
       "te", "trailer", "transfer-encoding", "upgrade", "content-length", "expect"});
  if (std::ranges::any_of(names, [&](std::string_view it) { return sameName(it, name); }))
    return true;
  const std::string *connection = find(fields, "Connection");
  return connection != nullptr && listContains(*connection, name);
}

std::string_view reasonOf(int status) {
  switch (status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 408:
    return "Request Timeout";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::string queryValue(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    if (percentDecode(pair.substr(0, equals)) == name)
      return percentDecode(pair.substr(std::min(equals + 1, pair.size())));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return {};
}

} // namespace chervil::http
