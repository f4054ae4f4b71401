// Splits a byte stream into server-sent events. Use:
//   SseParser parser;
//   for (const SseEvent &e : feed(parser, bytes)) ...
#ifndef CHERVIL_CTL_LOAD_SSEPARSER_H
#define CHERVIL_CTL_LOAD_SSEPARSER_H

#include <string>
#include <string_view>
#include <vector>

namespace chervil::load {

struct SseEvent {
  std::string Id;
  /// Empty for an event without a name.
  std::string Name;
  std::string Data;
};

struct SseParser {
  std::string Line;
  SseEvent Current;
  bool HasField = false;
};

/// Events that end within `bytes`. An event that is not ended by an empty line is never returned.
std::vector<SseEvent> feed(SseParser &parser, std::string_view bytes);

} // namespace chervil::load

#endif
