// Splits a byte stream of server-sent events into complete events. Use:
//   for (std::string &event : splitEvents(splitter, bytes)) forward(event);
#ifndef CHERVIL_RELAY_EVENTSPLITTER_H
#define CHERVIL_RELAY_EVENTSPLITTER_H

#include <string>
#include <string_view>
#include <vector>

namespace chervil::relay {

/// State of splitting one stream.
struct EventSplitter {
  /// The bytes of the last event, whose end has not arrived.
  std::string Partial;
};

/// Appends `bytes` and returns the events that are now complete, each including the blank line that
/// ends it.
std::vector<std::string> splitEvents(EventSplitter &splitter, std::string_view bytes);

/// Returns the value of the id field of an event; empty if it has none. Valid as long as the memory
/// of `event`.
std::string_view eventId(std::string_view event);

/// Returns true if both ids are numbers and `id` is not greater than `last`, the id of the last
/// event that was delivered.
bool isAlreadyDelivered(std::string_view id, std::string_view last);

} // namespace chervil::relay

#endif
