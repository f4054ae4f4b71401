#include "retry/PartQuarantine.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervil::retry {
namespace {

using std::chrono::milliseconds;

// Smaller differences between two reports of one success are due to the time that messages take.
// Without a threshold nodes would forward the same success to each other without end.
constexpr Duration MinNewer = std::chrono::seconds(1);

milliseconds ageOf(TimePoint at, const Now &now) {
  return std::max(milliseconds{0}, std::chrono::duration_cast<milliseconds>(now.Steady - at));
}

bool contains(const Parts &parts, std::uint64_t part) {
  return std::ranges::find(parts, part) != parts.end();
}

bool contains(const Death &death, std::uint64_t part) {
  return std::ranges::any_of(death.Suspects, [&](const Parts &it) { return contains(it, part); });
}

bool containsAll(std::span<const std::uint64_t> parts, const Parts &all) {
  return std::ranges::all_of(
      all, [&](std::uint64_t it) { return std::ranges::find(parts, it) != parts.end(); });
}

using DeathsByPart = std::map<std::uint64_t, std::vector<const Death *>>;

/// The deaths with a suspect request that has the part, by part.
DeathsByPart deathsByPart(const std::vector<const Death *> &deaths) {
  DeathsByPart out;
  for (const Death *death : deaths)
    for (const Parts &suspect : death->Suspects)
      for (const std::uint64_t part : suspect) {
        auto &list = out[part];
        if (list.empty() || list.back() != death)
          list.push_back(death);
      }
  return out;
}

std::optional<TimePoint> successOf(const PartQuarantine &quarantine, std::uint64_t part) {
  const auto it = quarantine.Successes.find(part);
  return it == quarantine.Successes.end() ? std::nullopt : std::optional(it->second);
}

/// What speaks for a part being the cause of the deaths.
struct Accusation {
  std::uint64_t Part = 0;
  /// It was in an answer that went on, before all of these deaths.
  bool IsProven = false;
  /// Distinct moments of deaths since then.
  std::size_t Crashes = 0;
  std::vector<const Death *> Deaths;
};

std::size_t countMoments(std::vector<TimePoint> times) {
  std::ranges::sort(times);
  std::size_t n = 0;
  std::optional<TimePoint> last;
  for (const TimePoint it : times)
    if (!last || it - *last >= SameMoment) {
      ++n;
      last = it;
    }
  return n;
}

/// `deaths` are those with the part.
Accusation accuse(const PartQuarantine &quarantine, std::uint64_t part,
                  const std::vector<const Death *> &deaths) {
  Accusation out{.Part = part, .IsProven = false, .Crashes = 0, .Deaths = {}};
  const auto success = successOf(quarantine, part);
  out.IsProven = success.has_value();
  std::vector<TimePoint> times;
  for (const Death *it : deaths)
    if (!success || it->At > *success) {
      out.Deaths.push_back(it);
      times.push_back(it->At);
    }
  out.Crashes = countMoments(std::move(times));
  return out;
}

bool isConclusive(const Accusation &it) {
  return it.Crashes >= (it.IsProven ? CrashesOfProvenPart : CrashesOfUnprovenPart);
}

/// The strongest accusations; several if the evidence does not distinguish them. Parts that never
/// succeeded come first, whatever the others share with them.
std::vector<Accusation> strongest(const PartQuarantine &quarantine,
                                  const std::vector<const Death *> &deaths) {
  std::vector<Accusation> best;
  const auto rank = [](const Accusation &it) { return std::pair(!it.IsProven, it.Crashes); };
  for (const auto &[part, deathsOfPart] : deathsByPart(deaths)) {
    if (deathsOfPart.size() < CrashesOfUnprovenPart)
      continue;
    Accusation it = accuse(quarantine, part, deathsOfPart);
    if (!isConclusive(it) || (!best.empty() && rank(it) < rank(best.front())))
      continue;
    if (!best.empty() && rank(best.front()) < rank(it))
      best.clear();
    // Parts with as many crashes but in other deaths are accusations of their own.
    if (best.empty() || it.Deaths == best.front().Deaths)
      best.push_back(std::move(it));
  }
  return best;
}

/// Explains the deaths by as few parts as possible: the strongest accusation first, then those
/// that remain without the deaths that it explains.
void conclude(PartQuarantine &quarantine) {
  quarantine.Quarantined.clear();
  std::vector<const Death *> unexplained;
  for (const Death &it : quarantine.Deaths)
    unexplained.push_back(&it);
  for (;;) {
    const std::vector<Accusation> causes = strongest(quarantine, unexplained);
    if (causes.empty())
      return;
    Parts parts;
    for (const Accusation &it : causes)
      parts.push_back(it.Part);
    std::erase_if(unexplained, [&](const Death *it) {
      return std::ranges::any_of(it->Suspects,
                                 [&](const Parts &suspect) { return containsAll(suspect, parts); });
    });
    // Parts that were never in the same request are separate causes of the same deaths.
    const bool areTogether = std::ranges::any_of(causes.front().Deaths, [&](const Death *death) {
      return std::ranges::any_of(death->Suspects,
                                 [&](const Parts &suspect) { return containsAll(suspect, parts); });
    });
    if (areTogether) {
      quarantine.Quarantined.push_back(parts);
      continue;
    }
    for (const std::uint64_t part : parts) {
      quarantine.Quarantined.push_back({part});
      std::erase_if(unexplained, [&](const Death *it) { return contains(*it, part); });
    }
  }
}

/// The known death that an observation is about; null if it is a new one.
Death *findDeath(PartQuarantine &quarantine, std::uint64_t server, TimePoint at) {
  const auto it = std::ranges::find_if(quarantine.Deaths, [&](const Death &death) {
    return death.Server == server && std::chrono::abs(death.At - at) < SameDeath;
  });
  return it == quarantine.Deaths.end() ? nullptr : &*it;
}

/// Adds a suspect request to a death. Returns false if it is known or there are too many.
bool addSuspect(Death &death, Parts parts) {
  if (parts.size() > MaxParts)
    parts.resize(MaxParts);
  std::ranges::sort(parts);
  if (parts.empty() || death.Suspects.size() >= MaxSuspects ||
      std::ranges::find(death.Suspects, parts) != death.Suspects.end())
    return false;
  death.Suspects.push_back(std::move(parts));
  return true;
}

/// Drops what is known of parts that are in no suspect request any more.
void forgetUnsuspected(PartQuarantine &quarantine) {
  quarantine.SuspectParts.clear();
  for (const Death &death : quarantine.Deaths)
    for (const Parts &it : death.Suspects)
      quarantine.SuspectParts.insert(it.begin(), it.end());
  std::erase_if(quarantine.Successes,
                [&](const auto &it) { return !quarantine.SuspectParts.contains(it.first); });
}

/// Adds an observation. Returns the suspects that were new.
std::vector<message::PromptParts> addDeath(PartQuarantine &quarantine, std::uint64_t server,
                                           TimePoint at, const std::vector<Parts> &suspects) {
  Death *death = findDeath(quarantine, server, at);
  if (death == nullptr) {
    if (quarantine.Deaths.size() >= MaxDeaths)
      quarantine.Deaths.erase(quarantine.Deaths.begin());
    if (quarantine.SuspectParts.size() > MaxDeaths * MaxSuspects * MaxParts)
      forgetUnsuspected(quarantine);
    death = &quarantine.Deaths.emplace_back(Death{server, at, {}});
  }
  std::vector<message::PromptParts> added;
  for (const Parts &it : suspects)
    if (addSuspect(*death, it)) {
      quarantine.SuspectParts.insert(it.begin(), it.end());
      added.push_back({death->Suspects.back()});
    }
  return added;
}

/// This node's successes of the parts that peers may not know.
void appendOwnSuccesses(PartQuarantine &quarantine, const std::vector<message::PromptParts> &parts,
                        const Now &now, message::PartEvidence &to) {
  for (const message::PromptParts &request : parts)
    for (const std::uint64_t part : request.Parts) {
      const auto own = lastSeen(quarantine.OwnSuccesses, part);
      const auto known = successOf(quarantine, part);
      if (!own || now.Steady - *own > EvidenceTime || (known && *own - *known < MinNewer))
        continue;
      quarantine.Successes[part] = *own;
      to.Successes.push_back({part, ageOf(*own, now)});
    }
}

} // namespace

message::PartEvidence recordDeath(PartQuarantine &quarantine, std::uint64_t server,
                                  const std::vector<Parts> &suspects, const Now &now) {
  message::PartEvidence out;
  auto added = addDeath(quarantine, server, now.Steady, suspects);
  if (added.empty())
    return out;
  appendOwnSuccesses(quarantine, added, now, out);
  out.Deaths.push_back({server, milliseconds{0}, std::move(added)});
  conclude(quarantine);
  return out;
}

message::PartEvidence recordSuccess(PartQuarantine &quarantine,
                                    std::span<const std::uint64_t> parts, const Now &now) {
  message::PartEvidence out;
  for (const std::uint64_t part : parts) {
    note(quarantine.OwnSuccesses, part, now.Steady);
    const auto known = successOf(quarantine, part);
    if (!quarantine.SuspectParts.contains(part) || (known && now.Steady - *known < MinNewer))
      continue;
    quarantine.Successes[part] = now.Steady;
    out.Successes.push_back({part, milliseconds{0}});
  }
  if (!out.Successes.empty())
    conclude(quarantine);
  return out;
}

message::PartEvidence mergeEvidence(PartQuarantine &quarantine,
                                    const message::PartEvidence &evidence, const Now &now) {
  message::PartEvidence out;
  for (const message::PartSuccess &it : evidence.Successes) {
    const TimePoint at = now.Steady - it.Age;
    const auto known = successOf(quarantine, it.Part);
    if (it.Age > EvidenceTime || (known && at - *known < MinNewer))
      continue;
    quarantine.Successes[it.Part] = at;
    out.Successes.push_back(it);
  }
  for (const message::ServerDeath &it : evidence.Deaths) {
    if (it.Age > EvidenceTime)
      continue;
    std::vector<Parts> suspects;
    for (const message::PromptParts &request : it.Suspects)
      suspects.push_back(request.Parts);
    auto added = addDeath(quarantine, it.Server, now.Steady - it.Age, suspects);
    if (added.empty())
      continue;
    appendOwnSuccesses(quarantine, added, now, out);
    out.Deaths.push_back({it.Server, it.Age, std::move(added)});
  }
  if (!isEmpty(out))
    conclude(quarantine);
  return out;
}

bool isQuarantined(const PartQuarantine &quarantine, std::span<const std::uint64_t> parts) {
  return std::ranges::any_of(quarantine.Quarantined,
                             [&](const Parts &it) { return containsAll(parts, it); });
}

bool isProbeDue(const PartQuarantine &quarantine, std::span<const std::uint64_t> parts,
                const Now &now) {
  return std::ranges::all_of(quarantine.Quarantined, [&](const Parts &cause) {
    if (!containsAll(parts, cause))
      return true;
    std::vector<TimePoint> times;
    for (const Death &death : quarantine.Deaths)
      if (std::ranges::any_of(death.Suspects,
                              [&](const Parts &it) { return containsAll(it, cause); }))
        times.push_back(death.At);
    if (times.empty())
      return true;
    const TimePoint last = std::ranges::max(times);
    const std::size_t crashes = countMoments(std::move(times));
    constexpr std::size_t mostDoublings = 10;
    const std::size_t doublings =
        std::min(crashes - std::min(crashes, CrashesOfUnprovenPart), mostDoublings);
    return now.Steady - last >= FirstProbeDelay * (1 << doublings);
  });
}

message::PartEvidence evidenceOfQuarantines(const PartQuarantine &quarantine, const Now &now) {
  message::PartEvidence out;
  std::set<std::uint64_t> parts;
  for (const Parts &cause : quarantine.Quarantined) {
    std::size_t deaths = 0;
    for (auto death = quarantine.Deaths.rbegin();
         death != quarantine.Deaths.rend() && deaths < CrashesOfProvenPart; ++death) {
      std::vector<message::PromptParts> suspects;
      for (const Parts &it : death->Suspects)
        if (containsAll(it, cause)) {
          suspects.push_back({it});
          parts.insert(it.begin(), it.end());
        }
      if (suspects.empty())
        continue;
      ++deaths;
      out.Deaths.push_back({death->Server, ageOf(death->At, now), std::move(suspects)});
    }
  }
  for (const std::uint64_t it : parts)
    if (const auto at = successOf(quarantine, it))
      out.Successes.push_back({it, ageOf(*at, now)});
  return out;
}

void prune(PartQuarantine &quarantine, const Now &now) {
  const std::size_t before = quarantine.Deaths.size();
  std::erase_if(quarantine.Deaths,
                [&](const Death &it) { return now.Steady - it.At > EvidenceTime; });
  if (quarantine.Deaths.size() == before)
    return;
  forgetUnsuspected(quarantine);
  conclude(quarantine);
}

} // namespace chervil::retry
