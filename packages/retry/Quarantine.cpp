#include "retry/Quarantine.h"

#include <algorithm>
#include <utility>

namespace chervil::retry {
namespace {

// An entry lives as long as its latest death, so that a quarantine lasts for its whole time after
// the death that caused it.
TimePoint expiry(const ContentCrashes &deaths) {
  TimePoint latest = TimePoint::min();
  for (const auto &[backend, until] : deaths.Backends)
    latest = std::max(latest, until);
  return latest;
}

// Keeps the back ends that died last; by name among equals, so that the order of merges does not
// matter.
void limitBackends(std::map<std::string, TimePoint> &backends) {
  while (backends.size() > MaxBackendsPerContent)
    backends.erase(std::ranges::min_element(backends, [](const auto &a, const auto &b) {
      return std::pair(a.second, a.first) < std::pair(b.second, b.first);
    }));
}

void limitEntries(Quarantine &quarantine) {
  if (quarantine.Crashes.size() <= MaxTrackedContents)
    return;
  quarantine.Crashes.erase(std::ranges::min_element(
      quarantine.Crashes, {}, [](const auto &it) { return expiry(it.second); }));
}

} // namespace

ContentStatus contentStatus(const Quarantine &quarantine, std::uint64_t contentHash,
                            const Now &now) {
  const auto it = quarantine.Crashes.find(contentHash);
  if (it == quarantine.Crashes.end() || expiry(it->second) <= now.Steady)
    return ContentStatus::Clear;
  const ContentCrashes &deaths = it->second;
  return deaths.Alone && deaths.Backends.size() >= CrashesToQuarantine ? ContentStatus::Quarantined
                                                                       : ContentStatus::Suspect;
}

std::optional<TimePoint> lastCrash(const Quarantine &quarantine, std::uint64_t contentHash,
                                   const Now &now) {
  const auto it = quarantine.Crashes.find(contentHash);
  if (it == quarantine.Crashes.end() || expiry(it->second) <= now.Steady)
    return std::nullopt;
  return expiry(it->second) - QuarantineTime;
}

std::vector<std::uint64_t> suspectsOfCrash(const Quarantine &quarantine, TimePoint death,
                                           Duration within, const Now &now) {
  std::vector<std::uint64_t> result;
  for (const auto &[hash, deaths] : quarantine.Crashes) {
    const auto at = lastCrash(quarantine, hash, now);
    if (at && contentStatus(quarantine, hash, now) == ContentStatus::Suspect &&
        std::chrono::abs(*at - death) <= within)
      result.push_back(hash);
  }
  return result;
}

message::CrashReport recordCrash(Quarantine &quarantine, std::uint64_t contentHash,
                                 const std::string &backend, bool alone, const Now &now) {
  message::CrashReport report{contentHash,
                              {backend},
                              std::chrono::duration_cast<std::chrono::milliseconds>(QuarantineTime),
                              alone};
  mergeCrashReport(quarantine, report, now);
  return report;
}

bool mergeCrashReport(Quarantine &quarantine, const message::CrashReport &report, const Now &now) {
  // Lifetimes shrink on the way; a smaller gain would pass the same report round for ever.
  constexpr Duration leastGain = std::chrono::seconds(5);
  const Duration lifetime = std::min<Duration>(report.Lifetime, QuarantineTime);
  if (lifetime <= Duration::zero() || report.Backends.empty())
    return false;
  ContentCrashes &deaths = quarantine.Crashes[report.ContentHash];
  if (expiry(deaths) <= now.Steady)
    deaths = {};
  const ContentCrashes before = deaths;
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

std::vector<message::CrashReport> allCrashReports(const Quarantine &quarantine, const Now &now) {
  std::vector<message::CrashReport> result;
  for (const auto &[hash, deaths] : quarantine.Crashes)
    for (const auto &[backend, until] : deaths.Backends)
      if (until > now.Steady)
        result.push_back({hash,
                          {backend},
                          std::chrono::ceil<std::chrono::milliseconds>(until - now.Steady),
                          deaths.Alone});
  return result;
}

void prune(Quarantine &quarantine, const Now &now) {
  std::erase_if(quarantine.Crashes,
                [&](const auto &it) { return expiry(it.second) <= now.Steady; });
}

} // namespace chervil::retry
