// Requests whose back ends died while running them. Use:
//   if (auto r = recordCrash(q, contentHash, backend, now)) broadcast(*r);
//   ContentStatus s = standing(q, contentHash, now);
//   mergeCrashReport(q, report, now);   // from a peer; pass the result on when it is not empty
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

/// Different back ends that must have died before content is quarantined. At least one of them must
/// have died while the content ran as a suspect: work that only shared back ends with a crashing
/// request is not to blame.
inline constexpr std::size_t CrashesToQuarantine = 2;
/// Lifetime of a suspicion or quarantine after the last death.
inline constexpr Duration QuarantineTime = std::chrono::minutes(10);
/// Back ends remembered per content; more change nothing.
inline constexpr std::size_t MaxBackendsPerContent = 8;
/// Content hashes remembered; the one that expires first is dropped. Bounds memory.
inline constexpr std::size_t MaxTrackedContents = 10000;

enum class ContentStatus : std::uint8_t {
  Clear,
  /// Runs alone on its back end.
  Suspect,
  /// Refused with ResultCode::Quarantined.
  Quarantined,
};

/// Back ends that died while they ran one content.
struct ContentCrashes {
  /// Back end -> when its death is forgotten.
  std::map<std::string, TimePoint> Backends;
  /// At least one of them died while the content ran as a suspect.
  bool Alone = false;

  bool operator==(const ContentCrashes &) const = default;
};

struct Quarantine {
  /// By content hash.
  std::map<std::uint64_t, ContentCrashes> Crashes;
};

ContentStatus contentStatus(const Quarantine &quarantine, std::uint64_t contentHash,
                            const Now &now);

/// Latest death of a back end that ran the content; empty without one.
std::optional<TimePoint> lastCrash(const Quarantine &quarantine, std::uint64_t contentHash,
                                   const Now &now);

/// Content hashes under suspicion, in ascending order, whose latest death differs by at most
/// `within` from `death`: those that may have run on the same back end.
std::vector<std::uint64_t> suspectsOfCrash(const Quarantine &quarantine, TimePoint death,
                                           Duration within, const Now &now);

/// Records a death seen by this node and gives the report for its peers. `alone`: the content ran
/// as a suspect.
message::CrashReport recordCrash(Quarantine &quarantine, std::uint64_t contentHash,
                                 const std::string &backend, bool alone, const Now &now);

/// Merges a report. True when it held something new, so that it is worth passing on. Merging is
/// commutative and idempotent.
bool mergeCrashReport(Quarantine &quarantine, const message::CrashReport &report, const Now &now);

/// Everything known, for a node that has just started.
std::vector<message::CrashReport> allCrashReports(const Quarantine &quarantine, const Now &now);

/// Drops expired entries. Call it about every minute.
void prune(Quarantine &quarantine, const Now &now);

} // namespace chervil::retry

#endif
