// Tracks request contents whose back ends crashed while running them, and quarantines contents that
// cause crashes. Use:
//   broadcast(recordCrash(q, contentHash, backend, alone, now));
//   ContentStatus s = contentStatus(q, contentHash, now);
//   if (mergeCrashReport(q, report, now)) forward(report);   // from a peer
// Not thread-safe.
#ifndef CHERVIL_RETRY_QUARANTINE_H
#define CHERVIL_RETRY_QUARANTINE_H

#include "base/Random.h"
#include "base/Time.h"
#include "message/CrashReport.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervil::retry {

/// Number of different back ends that must have crashed before a content is quarantined. At least
/// one of them must have crashed while the content ran as a suspect, alone on its back end: a
/// request that only shared back ends with a crashing one is not the cause.
inline constexpr std::size_t CrashesToQuarantine = 2;
/// How long a suspicion or quarantine lasts after the latest crash.
inline constexpr Duration QuarantineTime = std::chrono::minutes(10);
/// Back ends tracked per content. Bounds memory; more of them would not change the status.
inline constexpr std::size_t MaxBackendsPerContent = 8;
/// Contents tracked. Bounds memory; the content that expires first is evicted.
inline constexpr std::size_t MaxTrackedContents = 10000;

/// A refused content is tried again this long after its last crash if it had the least number of
/// crashes, and after twice the time for each further crash: few crashes may be a coincidence.
inline constexpr Duration FirstContentProbeDelay = std::chrono::seconds(30);

/// How requests with a given content are treated.
enum class ContentStatus : std::uint8_t {
  /// No recent crash.
  Clear,
  /// Runs only alone on a back end.
  Suspect,
  /// Refused with ResultCode::Quarantined.
  Quarantined,
};

/// Crashes less than this apart, under requests that were sent before them, count as one: back ends
/// that end together, in an outage, say nothing about what they were running.
inline constexpr Duration SameOutage = std::chrono::milliseconds(50);

struct Crash {
  /// When it expires.
  TimePoint Until{};
  /// Events of the answer that had arrived.
  std::uint32_t Events = 0;

  bool operator==(const Crash &) const = default;
};

/// Back ends that crashed while they ran one content.
struct ContentCrashes {
  /// By back end.
  std::map<std::string, Crash> Backends;
  /// At least one of them crashed while the content ran as a suspect.
  bool CrashedAlone = false;
  /// When a crash at the moment at which the last answered request was sent would expire. Crashes
  /// that expire earlier were before it and do not count.
  std::optional<TimePoint> AnsweredUntil;
  /// The same for the last answer that went on beyond such a point, and the largest number of
  /// events that one had. Crashes with as many events or more still count.
  std::optional<TimePoint> PassedUntil;
  std::uint32_t PassedEvents = 0;
  /// Peers know of a crash, and have to be told of what refutes it.
  bool IsShared = false;

  bool operator==(const ContentCrashes &) const = default;
};

/// Recent crashes known to a node.
struct Quarantine {
  /// By content hash.
  std::map<std::uint64_t, ContentCrashes> Crashes;
};

/// Returns how a content is to be treated. Expired crashes do not count, even before prune().
ContentStatus contentStatus(const Quarantine &quarantine, std::uint64_t contentHash,
                            const Now &now);

/// Returns the time of the latest crash of a back end that ran the content; empty if there is none
/// or it has expired.
std::optional<TimePoint> lastCrash(const Quarantine &quarantine, std::uint64_t contentHash,
                                   const Now &now);

/// Returns the number of back ends that crashed while they ran the content; 0 once the latest crash
/// has expired.
std::size_t crashCount(const Quarantine &quarantine, std::uint64_t contentHash, const Now &now);

/// True if a content that is refused after `crashesToRefuse` crashes may be sent once, to find out
/// whether it still crashes its back end.
bool isProbeDue(const Quarantine &quarantine, std::uint64_t contentHash,
                std::size_t crashesToRefuse, const Now &now);

/// Records that a request with the content, sent at `sent`, was answered, which ends the suspicion
/// from earlier crashes. Returns the report for the peers; empty if there was none.
std::optional<message::CrashReport> recordAnswer(Quarantine &quarantine, std::uint64_t contentHash,
                                                 TimePoint sent, const Now &now);

/// Returns the hashes of suspect contents, in ascending order, whose latest crash differs by at
/// most `tolerance` from `crashTime`: they may have run on the back end that crashed then.
std::vector<std::uint64_t> suspectsOfCrash(const Quarantine &quarantine, TimePoint crashTime,
                                           Duration tolerance, const Now &now);

/// Records a crash that this node observed and returns the report for its peers. `alone` tells
/// whether the content ran as a suspect.
message::CrashReport recordCrash(Quarantine &quarantine, std::uint64_t contentHash,
                                 const std::string &backend, bool alone, const Now &now);

/// The same for an answer that broke off after `events` events. The request was sent to the back
/// end at `sent`. `isShared` tells whether the peers get the report.
message::CrashReport recordBrokenAnswer(Quarantine &quarantine, std::uint64_t contentHash,
                                        const std::string &backend, TimePoint sent,
                                        std::uint32_t events, bool isShared, const Now &now);

/// Returns the most events after which an answer to the content broke off; empty if none did.
std::optional<std::uint32_t> mostEventsOfCrash(const Quarantine &quarantine,
                                               std::uint64_t contentHash, const Now &now);

/// Records that an answer to the content has gone on after `events` events, which ends the
/// suspicion from crashes that were earlier in the answer. Returns the report for the peers; empty
/// if they know of no crash.
std::optional<message::CrashReport> recordProgress(Quarantine &quarantine,
                                                   std::uint64_t contentHash, std::uint32_t events,
                                                   const Now &now);

/// Merges the report of a peer. Returns true if it contained something new and should be forwarded.
/// Merging is commutative and idempotent, but for reports with Concurrent: of the crashes of one
/// outage, each node keeps the first that it hears of.
bool mergeCrashReport(Quarantine &quarantine, const message::CrashReport &report, const Now &now);

/// Returns all crashes that have not expired, for a node that has just started.
std::vector<message::CrashReport> allCrashReports(const Quarantine &quarantine, const Now &now);

/// Drops expired entries. Call it about once a minute.
void prune(Quarantine &quarantine, const Now &now);

} // namespace chervil::retry

#endif
