#include "relay/Departures.h"

#include <algorithm>

namespace chervil::relay {

using enum message::DepartureKind;

void noteListed(Departures &departures, const ServerStart &start, const store::Position &position) {
  const auto [listed, isNew] = departures.Listed.try_emplace(start.Id);
  if (isNew || listed->second.Born != start.Born)
    listed->second = {start.Born, position};
  const auto fact = departures.Facts.find(start);
  if (fact == departures.Facts.end())
    return;
  if (fact->second.Kind == Lapsed && position > fact->second.Position)
    departures.Facts.erase(fact);
}

void noteUnlisted(Departures &departures, const std::string &id, const Now &now) {
  const auto listed = departures.Listed.find(id);
  if (listed == departures.Listed.end())
    return;
  if (const auto fact = departures.Facts.find({id, listed->second.Born});
      fact != departures.Facts.end())
    fact->second.LastSeen = now.Steady;
  departures.Listed.erase(listed);
}

void forgetStart(Departures &departures, const ServerStart &start) {
  departures.Facts.erase(start);
  departures.Listed.erase(start.Id);
}

bool addDeparture(Departures &departures, const message::BackendDeparture &departure,
                  const store::Position &position, const Now &now) {
  const store::Position at{departure.Era, departure.Revision};
  const auto listed = departures.Listed.find(departure.Backend);
  const bool isListed = listed != departures.Listed.end();
  // The list in use is from a later reading, which shows whether the entry is back.
  if (departure.Kind == Lapsed && at < position)
    return false;
  if (isListed && listed->second.Born != departure.Born && at < listed->second.First)
    return false;
  const Departure fact{departure.Kind, departure.Source, now.Steady - departure.Age, at,
                       now.Steady};
  const auto [known, isNew] =
      departures.Facts.try_emplace({departure.Backend, departure.Born}, fact);
  if (isNew)
    return true;
  known->second.LastSeen = now.Steady;
  if (known->second.Kind != Lapsed)
    return false;
  if (departure.Kind != Lapsed) {
    known->second = fact;
    return true;
  }
  if (at <= known->second.Position)
    return false;
  known->second = fact;
  // Peers that list the entry need the later position; the others know that it has lapsed.
  return isListed && listed->second.Born == departure.Born;
}

bool isDeparting(const Departures &departures, const ServerStart &start) {
  return departures.Facts.contains(start);
}

std::vector<message::BackendDeparture> departuresOf(const Departures &departures,
                                                    const std::string &id, const Now &now) {
  std::vector<message::BackendDeparture> out;
  for (auto it = departures.Facts.lower_bound({id, 0});
       it != departures.Facts.end() && it->first.Id == id; ++it) {
    const Departure &fact = it->second;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady - fact.At);
    out.push_back({id, it->first.Born, fact.Kind, fact.Source,
                   std::max(age, std::chrono::milliseconds{0}), fact.Position.Era,
                   fact.Position.Revision});
  }
  return out;
}

void prune(Departures &departures, const Now &now) {
  std::erase_if(departures.Facts, [&](const auto &it) {
    const auto listed = departures.Listed.find(it.first.Id);
    const bool isListed = listed != departures.Listed.end() && listed->second.Born == it.first.Born;
    return !isListed && now.Steady - it.second.LastSeen > DepartureMemory;
  });
}

const char *toString(message::DepartureKind kind) {
  switch (kind) {
  case Lapsed:
    return "lapsed";
  case Draining:
    return "draining";
  case Announced:
    return "announced";
  }
  return "unknown";
}

} // namespace chervil::relay
