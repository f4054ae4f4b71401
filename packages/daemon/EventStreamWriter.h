// Writes an answer to a caller as server-sent events. Use:
//   EventStreamWriter writer{.Key = key, .Model = model};
//   out = writeText(writer, offset, text);
//   out = writeEnd(writer, tokens);
#ifndef CHERVIL_DAEMON_EVENTSTREAMWRITER_H
#define CHERVIL_DAEMON_EVENTSTREAMWRITER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace chervil::daemon {

/// `id:` of each event is the offset of the byte after its text, from which a caller resumes.
struct EventStreamWriter {
  std::string Key;
  std::string Model;
  /// End of the text written so far.
  std::uint64_t Offset = 0;
  /// Beginning of a character whose last bytes have not arrived.
  std::string Partial;
};

/// One event for the text at `offset`; empty when it completes no character.
std::string writeText(EventStreamWriter &writer, std::uint64_t offset, std::string_view text);

/// The last events of a whole answer, with the terminator.
std::string writeEnd(const EventStreamWriter &writer, std::uint32_t tokens);

/// An event with a name other than the default, such as "moved" or "error".
std::string writeEvent(std::string_view name, std::string_view data);

} // namespace chervil::daemon

#endif
