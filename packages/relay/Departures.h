// Facts about the departure of backend servers: which starts of servers get no new requests, and
// what ends that. docs/design/server-departures.md has the transitions. Use:
//   noteListed(departures, start, position);                    // an entry of a reading
//   if (addDeparture(departures, departure, position, now)) gossip(departure);
//   if (isDeparting(departures, start)) ...
// Does no I/O and reads no clock. Not thread-safe.
#ifndef CHERVIL_RELAY_DEPARTURES_H
#define CHERVIL_RELAY_DEPARTURES_H

#include "base/Time.h"
#include "message/BackendDeparture.h"
#include "store/Item.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervil::relay {

/// One start of a server.
struct ServerStart {
  std::string Id;
  /// See BackendEntry::Born.
  std::uint64_t Born = 0;

  auto operator<=>(const ServerStart &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Why a start of a server gets no new requests.
struct Departure {
  message::DepartureKind Kind = message::DepartureKind::Lapsed;
  /// Name of the node that learned it first, and when.
  std::string Source;
  TimePoint At{};
  /// Position of the list that the source had in use.
  store::Position Position;
  /// When the start was last reported or ceased to be listed.
  TimePoint LastSeen{};
};

/// The start that the list has for an id, and the position at which it was first listed.
struct ListedStart {
  std::uint64_t Born = 0;
  store::Position First;
};

struct Departures {
  std::map<ServerStart, Departure> Facts;
  /// By id.
  std::map<std::string, ListedStart> Listed;
};

/// A fact of a start that is not listed is dropped after this time without a report. A list that
/// shows the start again later is from an older copy of the store.
inline constexpr Duration DepartureMemory = std::chrono::minutes(10);

/// Notes that the reading at `position` lists a start, which ends a lapse that is known from an
/// earlier reading.
void noteListed(Departures &departures, const ServerStart &start, const store::Position &position);

/// Notes that the list no longer has a server.
void noteUnlisted(Departures &departures, const std::string &id, const Now &now);

/// Forgets what is known of a start, as another one has the same `Born`: both are unknown.
void forgetStart(Departures &departures, const ServerStart &start);

/// Adds a fact of this node or of a peer. `position` is that of the list in use. Returns true if
/// peers are to be told: the fact is new to this node and is not about an earlier start or a
/// reading before the list in use.
bool addDeparture(Departures &departures, const message::BackendDeparture &departure,
                  const store::Position &position, const Now &now);

/// True if the start gets no new requests.
bool isDeparting(const Departures &departures, const ServerStart &start);

/// Returns the facts about the given server, for a node that may lack them.
std::vector<message::BackendDeparture> departuresOf(const Departures &departures,
                                                    const std::string &id, const Now &now);

/// Drops facts about starts that are not listed; see DepartureMemory.
void prune(Departures &departures, const Now &now);

/// Names of a kind for logs and metrics: "lapsed", "draining", "announced".
const char *toString(message::DepartureKind kind);

} // namespace chervil::relay

#endif
