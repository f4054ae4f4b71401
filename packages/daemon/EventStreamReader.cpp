#include "daemon/EventStreamReader.h"

#include <nlohmann/json.hpp>

namespace chervil::daemon {
namespace {

using Json = nlohmann::json;

// An event holds one token or the final counts; a larger one is not an engine's.
constexpr std::size_t MaxEvent = 64 * 1024;

void readData(std::string_view data, EventStreamReader &reader, StreamPart &part) {
  if (data == "[DONE]") {
    reader.Done = true;
    part.Done = true;
    return;
  }
  const Json json = Json::parse(data, nullptr, false);
  if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array() ||
      json["choices"].empty()) {
    part.Malformed = true;
    return;
  }
  const Json &choice = json["choices"][0];
  if (!choice.is_object() || !choice.contains("delta") || !choice["delta"].is_object()) {
    part.Malformed = true;
    return;
  }
  const Json &delta = choice["delta"];
  if (const auto it = delta.find("content"); it != delta.end() && it->is_string()) {
    part.Text += it->get_ref<const std::string &>();
    ++part.Tokens;
  }
}

} // namespace

StreamPart feed(EventStreamReader &reader, std::string_view bytes) {
  StreamPart part;
  reader.Buffer.append(bytes);
  std::size_t taken = 0;
  for (;;) {
    const std::size_t end = reader.Buffer.find('\n', taken);
    if (end == std::string::npos)
      break;
    std::string_view line(reader.Buffer.data() + taken, end - taken);
    taken = end + 1;
    if (!line.empty() && line.back() == '\r')
      line.remove_suffix(1);
    if (line.empty() || !line.starts_with("data:"))
      continue;
    line.remove_prefix(5);
    if (line.starts_with(' '))
      line.remove_prefix(1);
    if (reader.Done)
      part.Malformed = true;
    else
      readData(line, reader, part);
  }
  reader.Buffer.erase(0, taken);
  if (reader.Buffer.size() > MaxEvent)
    part.Malformed = true;
  return part;
}

} // namespace chervil::daemon
