// Cuts a stream of server-sent events into whole events. Use:
//   for (std::string &event : split(splitter, bytes)) forward(event);
#ifndef CHERVIL_RELAY_EVENTSPLITTER_H
#define CHERVIL_RELAY_EVENTSPLITTER_H

#include <string>
#include <string_view>
#include <vector>

namespace chervil::relay {

struct EventSplitter {
  /// The beginning of an event whose end has not arrived.
  std::string Partial;
};

/// The events that `bytes` completes, each with the blank line that ends it.
std::vector<std::string> splitEvents(EventSplitter &splitter, std::string_view bytes);

/// Value of the event's id line; empty if it has none. Valid while `event` is.
std::string_view eventId(std::string_view event);

/// True if `id` is a number and not above the number `last`: the event was delivered before.
bool isAlreadyDelivered(std::string_view id, std::string_view last);

} // namespace chervil::relay

#endif
