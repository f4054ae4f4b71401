#include "ctl/load/SseParser.h"

#include <utility>

namespace chervil::load {
namespace {

void takeField(SseParser &parser, std::string_view line) {
  const std::size_t colon = line.find(':');
  // A line that starts with a colon is a comment.
  if (colon == 0 || colon == std::string_view::npos)
    return;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  if (value.starts_with(' '))
    value.remove_prefix(1);
  parser.HasField = true;
  if (name == "id") {
    parser.Current.Id = value;
  } else if (name == "event") {
    parser.Current.Name = value;
  } else if (name == "data") {
    if (!parser.Current.Data.empty())
      parser.Current.Data += '\n';
    parser.Current.Data += value;
  }
}

} // namespace

std::vector<SseEvent> feed(SseParser &parser, std::string_view bytes) {
  std::vector<SseEvent> events;
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      parser.Line += bytes;
      break;
    }
    parser.Line += bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    if (parser.Line.ends_with('\r'))
      parser.Line.pop_back();
    if (!parser.Line.empty()) {
      takeField(parser, parser.Line);
    } else if (std::exchange(parser.HasField, false)) {
      events.push_back(std::exchange(parser.Current, {}));
    }
    parser.Line.clear();
  }
  return events;
}

} // namespace chervil::load
