#include "relay/EventSplitter.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace chervil::relay {
namespace {

/// Empty unless the whole text is a decimal number.
std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return n;
}

/// Returns the position after the blank line that ends the first event; npos if it has not arrived.
std::size_t endOfEvent(std::string_view text) {
  const std::size_t lf = text.find("\n\n");
  const std::size_t crlf = text.find("\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos)
    return std::string_view::npos;
  return lf < crlf ? lf + 2 : crlf + 3;
}

} // namespace

std::vector<std::string> splitEvents(EventSplitter &splitter, std::string_view bytes) {
  splitter.Partial.append(bytes);
  std::vector<std::string> events;
  std::string_view rest = splitter.Partial;
  for (std::size_t end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
    events.emplace_back(rest.substr(0, end));
    rest.remove_prefix(end);
  }
  splitter.Partial.erase(0, splitter.Partial.size() - rest.size());
  return events;
}

std::string_view eventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t n = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, n);
    event.remove_prefix(std::min(n + 1, event.size()));
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    if (line.starts_with(' '))
      line.remove_prefix(1);
    return line;
  }
  return {};
}

bool isAlreadyDelivered(std::string_view id, std::string_view last) {
  const auto a = parseNumber(id);
  const auto b = parseNumber(last);
  return a && b && *a <= *b;
}

} // namespace chervil::relay
