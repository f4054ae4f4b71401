#include "net/HttpSyntax.h"

#include <algorithm>

namespace chervil::net {
namespace {

// Independent of the locale, unlike std::isalnum.
bool isAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z');
}

bool isTokenByte(char c) {
  return isAlphanumeric(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
}

bool isControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return byte < 0x20 || byte == 0x7f;
}

} // namespace

bool isFieldName(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, isTokenByte);
}

bool isFieldValue(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c == '\t' || !isControl(c); });
}

} // namespace chervil::net
