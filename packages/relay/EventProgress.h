// Follows a byte stream of server-sent events without keeping its bytes. Use:
//   if (advance(progress, bytes)) lastProgress = now;
// Only data counts as progress: a server that is stuck may still send a byte, a comment or an empty
// event now and then.
#ifndef CHERVIL_RELAY_EVENTPROGRESS_H
#define CHERVIL_RELAY_EVENTPROGRESS_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chervil::relay {

/// State of one stream.
struct EventProgress {
  /// The first characters of the current line, of which Length have arrived; Length stops at the
  /// size of the array.
  std::array<char, 5> LineStart{};
  std::size_t Length = 0;
  /// The current line is a data field with a value.
  bool HasValue = false;
  /// The last byte ended an event, or none has arrived. A stream that ends elsewhere was cut off.
  bool AtBoundary = true;
  /// Data fields with a value that are complete.
  std::uint32_t Fields = 0;
};

/// Takes the next bytes. Returns true if they complete a data field that is not empty.
bool advance(EventProgress &progress, std::string_view bytes);

} // namespace chervil::relay

#endif
