#include "daemon/EngineLoad.h"

#include <charconv>

namespace chervil::daemon {
namespace {

bool readField(std::string_view text, EngineLoad &load) {
  const std::size_t equals = text.find('=');
  if (equals == std::string_view::npos)
    return false;
  const std::string_view name = text.substr(0, equals);
  const std::string_view digits = text.substr(equals + 1);
  std::uint32_t value = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
  if (ec != std::errc{} || end != digits.data() + digits.size())
    return false;
  if (name == "running")
    load.Running = value;
  else if (name == "queued")
    load.Queued = value;
  else if (name == "slots")
    load.Slots = value;
  else if (name == "age_ms")
    load.Age = std::chrono::milliseconds(value);
  return true;
}

} // namespace

std::optional<EngineLoad> parseEngineLoad(std::string_view text) {
  if (text.empty())
    return std::nullopt;
  EngineLoad load;
  while (!text.empty()) {
    const std::size_t end = text.find(';');
    if (!readField(text.substr(0, end), load))
      return std::nullopt;
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  }
  return load;
}

std::string escapePath(std::string_view text) {
  constexpr std::string_view hex = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                       c == '-' || c == '.' || c == '_' || c == '~';
    if (plain) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += hex[byte >> 4U];
    out += hex[byte & 15U];
  }
  return out;
}

} // namespace chervil::daemon
