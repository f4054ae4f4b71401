#include "retry/Quarantine.h"

#include <algorithm>
#include <utility>

namespace chervil::retry {
namespace {

// An entry lives as long as its latest death, so that a quarantine lasts for its whole time after
// the death that caused it.
TimePoint expiry(const ContentDeaths &deaths) {
  TimePoint latest = TimePoint::min();
  for (const auto &[backend, until] : deaths.Backends)
    latest = std::max(latest, until);
  return latest;
}

// Keeps the back ends that died last; by name among equals, so that the order of merges does not
// matter.
void limitBackends(std::map<std::string, TimePoint> &backends) {
  while (backends.size() > MaxBackends)
    backends.erase(std::ranges::min_element(backends, [](const auto &a, const auto &b) {
      return std::pair(a.second, a.first) < std::pair(b.second, b.first);
    }));
}

void limitEntries(Quarantine &quarantine) {
  if (quarantine.Deaths.size() <= MaxEntries)
    return;
  quarantine.Deaths.erase(std::ranges::min_element(
      quarantine.Deaths, {}, [](const auto &it) { return expiry(it.second); }));
}

} // namespace

Standing standing(const Quarantine &quarantine, std::uint64_t contentHash, const Now &now) {
  const auto it = quarantine.Deaths.find(contentHash);
  if (it == quarantine.Deaths.end() || expiry(it->second) <= now.Steady)
    return Standing::Clear;
  const ContentDeaths &deaths = it->second;
  return deaths.Alone && deaths.Backends.size() >= DeathsToQuarantine ? Standing::Quarantined
                                                                      : Standing::Suspect;
}

std::optional<TimePoint> lastDeath(const Quarantine &quarantine, std::uint64_t contentHash,
                                   const Now &now) {
  const auto it = quarantine.Deaths.find(contentHash);
  if (it == quarantine.Deaths.end() || expiry(it->second) <= now.Steady)
    return std::nullopt;
  return expiry(it->second) - QuarantineTime;
}

std::vector<std::uint64_t> suspectsOf(const Quarantine &quarantine, TimePoint death,
                                      Duration within, const Now &now) {
  std::vector<std::uint64_t> result;
  for (const auto &[hash, deaths] : quarantine.Deaths) {
    const auto at = lastDeath(quarantine, hash, now);
    if (at && standing(quarantine, hash, now) == Standing::Suspect &&
        std::chrono::abs(*at - death) <= within)
      result.push_back(hash);
  }
  return result;
}

message::CrashReport onBackendDied(Quarantine &quarantine, std::uint64_t contentHash,
                                   const std::string &backend, bool alone, const Now &now) {
  message::CrashReport report{contentHash,
                              {backend},
                              std::chrono::duration_cast<std::chrono::milliseconds>(QuarantineTime),
                              alone};
  onCrashReport(quarantine, report, now);
  return report;
}

bool onCrashReport(Quarantine &quarantine, const message::CrashReport &report, const Now &now) {
  // Lifetimes shrink on the way; a smaller gain would pass the same report round for ever.
  constexpr Duration leastGain = std::chrono::seconds(5);
  const Duration lifetime = std::min<Duration>(report.Lifetime, QuarantineTime);
  if (lifetime <= Duration::zero() || report.Backends.empty())
    return false;
  ContentDeaths &deaths = quarantine.Deaths[report.ContentHash];
  if (expiry(deaths) <= now.Steady)
    deaths = {};
  const ContentDeaths before = deaths;
  const TimePoint until = now.Steady + lifetime;
  for (const std::string &it : report.Backends) {
    TimePoint &known = deaths.Backends.try_emplace(it, until).first->second;
    known = std::max(known, until);
  }
  deaths.Alone |= report.Alone;
  limitBackends(deaths.Backends);
  const bool isNew =
      deaths.Alone != before.Alone || std::ranges::any_of(deaths.Backends, [&](const auto &it) {
        const auto old = before.Backends.find(it.first);
        return old == before.Backends.end() || it.second - old->second >= leastGain;
      });
  limitEntries(quarantine);
  return isNew;
}

std::vector<message::CrashReport> reports(const Quarantine &quarantine, const Now &now) {
  std::vector<message::CrashReport> result;
  for (const auto &[hash, deaths] : quarantine.Deaths)
    for (const auto &[backend, until] : deaths.Backends)
      if (until > now.Steady)
        result.push_back({hash,
                          {backend},
                          std::chrono::ceil<std::chrono::milliseconds>(until - now.Steady),
                          deaths.Alone});
  return result;
}

void prune(Quarantine &quarantine, const Now &now) {
  std::erase_if(quarantine.Deaths, [&](const auto &it) { return expiry(it.second) <= now.Steady; });
}

} // namespace chervil::retry
