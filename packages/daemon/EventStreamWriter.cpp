#include "daemon/EventStreamWriter.h"

#include <nlohmann/json.hpp>

namespace chervil::daemon {
namespace {

using Json = nlohmann::json;

/// Length of the prefix of `text` that ends at a character boundary.
std::size_t wholeCharacters(std::string_view text) {
  constexpr std::size_t longest = 4;
  for (std::size_t back = 1; back <= longest && back <= text.size(); ++back) {
    const auto c = static_cast<unsigned char>(text[text.size() - back]);
    if ((c & 0xC0U) == 0x80U)
      continue;
    std::size_t length = 1;
    if (c >= 0xF0U)
      length = 4;
    else if (c >= 0xE0U)
      length = 3;
    else if (c >= 0xC0U)
      length = 2;
    return length > back ? text.size() - back : text.size();
  }
  return text.size();
}

std::string quote(std::string_view text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string head(const EventStreamWriter &writer) {
  std::string out = "id: " + std::to_string(writer.Offset);
  out += "\ndata: {\"id\":";
  out += quote(writer.Key);
  out += R"(,"object":"chat.completion.chunk","model":)";
  out += quote(writer.Model);
  out += R"(,"choices":[{"index":0,"delta":{)";
  return out;
}

} // namespace

std::string writeText(EventStreamWriter &writer, std::uint64_t offset, std::string_view text) {
  std::string whole = std::move(writer.Partial);
  if (whole.empty())
    writer.Offset = offset;
  whole += text;
  const std::size_t n = wholeCharacters(whole);
  writer.Partial = whole.substr(n);
  whole.resize(n);
  if (whole.empty())
    return {};
  writer.Offset += n;
  std::string out = head(writer);
  out += R"("content":)";
  out += quote(whole);
  out += "}}]}\n\n";
  return out;
}

std::string writeEnd(const EventStreamWriter &writer, std::uint32_t tokens) {
  std::string out = head(writer);
  out += R"(},"finish_reason":"stop"}],"usage":{"completion_tokens":)";
  out += std::to_string(tokens);
  out += "}}\n\ndata: [DONE]\n\n";
  return out;
}

std::string writeEvent(std::string_view name, std::string_view data) {
  std::string out = "event: ";
  out += name;
  out += "\ndata: ";
  out += data;
  out += "\n\n";
  return out;
}

} // namespace chervil::daemon
