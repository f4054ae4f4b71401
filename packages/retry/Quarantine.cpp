#include "retry/Quarantine.h"

#include <algorithm>
#include <utility>

namespace chervil::retry {
namespace {

// A quarantine lasts for QuarantineTime after the latest crash.
TimePoint crashExpiry(const ContentCrashes &crashes) {
  TimePoint latest = TimePoint::min();
  for (const auto &[backend, crash] : crashes.Backends)
    latest = std::max(latest, crash.Until);
  return latest;
}

// An entry also lives as long as its latest answer, so that a late report of an earlier crash does
// not count.
TimePoint expiry(const ContentCrashes &crashes) {
  return std::max({crashExpiry(crashes), crashes.AnsweredUntil.value_or(TimePoint::min()),
                   crashes.PassedUntil.value_or(TimePoint::min())});
}

// Drops the crashes that an answer has refuted. Returns true if there were any.
bool dropAnswered(ContentCrashes &crashes) {
  const std::size_t dropped = std::erase_if(crashes.Backends, [&](const auto &it) {
    const Crash &crash = it.second;
    return (crashes.AnsweredUntil && crash.Until <= *crashes.AnsweredUntil) ||
           (crashes.PassedUntil && crash.Until <= *crashes.PassedUntil &&
            crash.Events < crashes.PassedEvents);
  });
  if (crashes.Backends.empty())
    crashes.CrashedAlone = false;
  return dropped > 0;
}

// `events` is 0 for a complete answer.
bool mergeAnswer(Quarantine &quarantine, std::uint64_t contentHash, TimePoint until,
                 std::uint32_t events) {
  const auto it = quarantine.Crashes.find(contentHash);
  if (it == quarantine.Crashes.end())
    return false;
  ContentCrashes &crashes = it->second;
  std::optional<TimePoint> &known = events == 0 ? crashes.AnsweredUntil : crashes.PassedUntil;
  known = std::max(known.value_or(until), until);
  crashes.PassedEvents = std::max(crashes.PassedEvents, events);
  return dropAnswered(crashes);
}

// True if another back end is known to have crashed under the content at this moment.
bool isKnownOutage(const ContentCrashes &crashes, TimePoint until) {
  return std::ranges::any_of(crashes.Backends, [&](const auto &it) {
    return std::chrono::abs(it.second.Until - until) < SameOutage;
  });
}

// Keeps the back ends that crashed last. Ties are broken by name, so that the result does not
// depend on the order of merges.
void evictOldestBackends(std::map<std::string, Crash> &backends) {
  while (backends.size() > MaxBackendsPerContent)
    backends.erase(std::ranges::min_element(backends, [](const auto &a, const auto &b) {
      return std::pair(a.second.Until, a.first) < std::pair(b.second.Until, b.first);
    }));
}

// Drops the content that expires first if there are too many.
void evictOldestContent(Quarantine &quarantine) {
  if (quarantine.Crashes.size() <= MaxTrackedContents)
    return;
  quarantine.Crashes.erase(std::ranges::min_element(
      quarantine.Crashes, {}, [](const auto &it) { return expiry(it.second); }));
}

} // namespace

ContentStatus contentStatus(const Quarantine &quarantine, std::uint64_t contentHash,
                            const Now &now) {
  const auto it = quarantine.Crashes.find(contentHash);
  if (it == quarantine.Crashes.end() || crashExpiry(it->second) <= now.Steady)
    return ContentStatus::Clear;
  const ContentCrashes &crashes = it->second;
  return crashes.CrashedAlone && crashes.Backends.size() >= CrashesToQuarantine
             ? ContentStatus::Quarantined
             : ContentStatus::Suspect;
}

std::optional<TimePoint> lastCrash(const Quarantine &quarantine, std::uint64_t contentHash,
                                   const Now &now) {
  const auto it = quarantine.Crashes.find(contentHash);
  if (it == quarantine.Crashes.end() || crashExpiry(it->second) <= now.Steady)
    return std::nullopt;
  return crashExpiry(it->second) - QuarantineTime;
}

std::size_t crashCount(const Quarantine &quarantine, std::uint64_t contentHash, const Now &now) {
  return lastCrash(quarantine, contentHash, now)
             ? quarantine.Crashes.at(contentHash).Backends.size()
             : 0;
}

bool isProbeDue(const Quarantine &quarantine, std::uint64_t contentHash,
                std::size_t crashesToRefuse, const Now &now) {
  const auto last = lastCrash(quarantine, contentHash, now);
  if (!last)
    return true;
  const std::size_t crashes = crashCount(quarantine, contentHash, now);
  return now.Steady - *last >=
         FirstContentProbeDelay * (1 << (crashes - std::min(crashes, crashesToRefuse)));
}

std::optional<message::CrashReport> recordAnswer(Quarantine &quarantine, std::uint64_t contentHash,
                                                 TimePoint sent, const Now &now) {
  const TimePoint until = sent + QuarantineTime;
  if (until <= now.Steady || !mergeAnswer(quarantine, contentHash, until, 0) ||
      !quarantine.Crashes.at(contentHash).IsShared)
    return std::nullopt;
  return message::CrashReport{
      contentHash,
      {},
      std::chrono::duration_cast<std::chrono::milliseconds>(until - now.Steady),
      false,
      true};
}

std::vector<std::uint64_t> suspectsOfCrash(const Quarantine &quarantine, TimePoint crashTime,
                                           Duration tolerance, const Now &now) {
  std::vector<std::uint64_t> result;
  for (const auto &[hash, crashes] : quarantine.Crashes) {
    const auto at = lastCrash(quarantine, hash, now);
    if (at && contentStatus(quarantine, hash, now) == ContentStatus::Suspect &&
        std::chrono::abs(*at - crashTime) <= tolerance)
      result.push_back(hash);
  }
  return result;
}

message::CrashReport recordCrash(Quarantine &quarantine, std::uint64_t contentHash,
                                 const std::string &backend, bool alone, const Now &now) {
  message::CrashReport report{contentHash,
                              {backend},
                              std::chrono::duration_cast<std::chrono::milliseconds>(QuarantineTime),
                              alone,
                              false};
  mergeCrashReport(quarantine, report, now);
  return report;
}

message::CrashReport recordBrokenAnswer(Quarantine &quarantine, std::uint64_t contentHash,
                                        const std::string &backend, TimePoint sent,
                                        std::uint32_t events, bool isShared, const Now &now) {
  const auto known = quarantine.Crashes.find(contentHash);
  const bool wasShared = known != quarantine.Crashes.end() && known->second.IsShared;
  const auto last = lastCrash(quarantine, contentHash, now);
  message::CrashReport report{contentHash,
                              {backend},
                              std::chrono::duration_cast<std::chrono::milliseconds>(QuarantineTime),
                              false,
                              false,
                              events,
                              !last || sent < *last};
  mergeCrashReport(quarantine, report, now);
  quarantine.Crashes[contentHash].IsShared = isShared || wasShared;
  return report;
}

std::optional<std::uint32_t> mostEventsOfCrash(const Quarantine &quarantine,
                                               std::uint64_t contentHash, const Now &now) {
  const auto it = quarantine.Crashes.find(contentHash);
  if (it == quarantine.Crashes.end())
    return std::nullopt;
  std::optional<std::uint32_t> most;
  for (const auto &[backend, crash] : it->second.Backends)
    if (crash.Until > now.Steady)
      most = std::max(most.value_or(0), crash.Events);
  return most;
}

std::optional<message::CrashReport> recordProgress(Quarantine &quarantine,
                                                   std::uint64_t contentHash, std::uint32_t events,
                                                   const Now &now) {
  if (!mergeAnswer(quarantine, contentHash, now.Steady + QuarantineTime, events) ||
      !quarantine.Crashes.at(contentHash).IsShared)
    return std::nullopt;
  message::CrashReport report;
  report.ContentHash = contentHash;
  report.Lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(QuarantineTime);
  report.Answered = true;
  report.Events = events;
  return report;
}

bool mergeCrashReport(Quarantine &quarantine, const message::CrashReport &report, const Now &now) {
  // The lifetime in a report is reduced by its transit time. Without this threshold, small
  // differences would count as new and nodes would forward the same report to each other forever.
  constexpr Duration minExtension = std::chrono::seconds(5);
  const Duration lifetime = std::min<Duration>(report.Lifetime, QuarantineTime);
  if (lifetime <= Duration::zero())
    return false;
  if (report.Answered)
    return mergeAnswer(quarantine, report.ContentHash, now.Steady + lifetime, report.Events);
  if (report.Backends.empty())
    return false;
  ContentCrashes &crashes = quarantine.Crashes[report.ContentHash];
  if (expiry(crashes) <= now.Steady)
    crashes = {};
  const ContentCrashes before = crashes;
  const TimePoint until = now.Steady + lifetime;
  if (report.Concurrent && isKnownOutage(crashes, until))
    return false;
  for (const std::string &it : report.Backends) {
    Crash &known = crashes.Backends.try_emplace(it, Crash{until, report.Events}).first->second;
    known.Until = std::max(known.Until, until);
    known.Events = std::max(known.Events, report.Events);
  }
  crashes.CrashedAlone |= report.Alone;
  crashes.IsShared = true;
  dropAnswered(crashes);
  evictOldestBackends(crashes.Backends);
  const bool isNew =
      crashes.CrashedAlone != before.CrashedAlone ||
      std::ranges::any_of(crashes.Backends, [&](const auto &it) {
        const auto old = before.Backends.find(it.first);
        return old == before.Backends.end() || it.second.Until - old->second.Until >= minExtension;
      });
  evictOldestContent(quarantine);
  return isNew;
}

std::vector<message::CrashReport> allCrashReports(const Quarantine &quarantine, const Now &now) {
  std::vector<message::CrashReport> result;
  for (const auto &[hash, crashes] : quarantine.Crashes)
    for (const auto &[backend, crash] : crashes.Backends)
      if (crash.Until > now.Steady)
        result.push_back({hash,
                          {backend},
                          std::chrono::ceil<std::chrono::milliseconds>(crash.Until - now.Steady),
                          crashes.CrashedAlone,
                          false,
                          crash.Events});
  return result;
}

void prune(Quarantine &quarantine, const Now &now) {
  std::erase_if(quarantine.Crashes,
                [&](const auto &it) { return expiry(it.second) <= now.Steady; });
}

} // namespace chervil::retry
