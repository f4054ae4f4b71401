// Reads the server-sent events of an engine. Use:
//   EventStreamReader reader;
//   StreamPart part = feed(reader, bytes);
//   if (part.Done) ...
#ifndef CHERVIL_DAEMON_EVENTSTREAMREADER_H
#define CHERVIL_DAEMON_EVENTSTREAMREADER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace chervil::daemon {

struct EventStreamReader {
  std::string Buffer;
  /// The terminator has arrived; nothing may follow.
  bool Done = false;
};

/// What the fed bytes completed.
struct StreamPart {
  std::string Text;
  std::uint32_t Tokens = 0;
  bool Done = false;
  /// The stream does not follow the published shape.
  bool Malformed = false;
};

StreamPart feed(EventStreamReader &reader, std::string_view bytes);

} // namespace chervil::daemon

#endif
