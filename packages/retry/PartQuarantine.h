// Finds the shared parts of prompts that crash each server which begins to answer a request with
// them, from the observations of all nodes. Use:
//   gossip(recordDeath(q, server, suspects, now));   // answers broke off as they began
//   gossip(recordSuccess(q, parts, now));            // an answer began and went on
//   gossip(mergeEvidence(q, evidence, now));         // from a peer; the result is what was new
//   if (isQuarantined(q, parts)) refuse();
// A crashing part is in a request at each crash, and no answer with it ever goes on. Parts that it
// shares requests with fail with it, but have other requests that succeed. Merging is commutative
// and idempotent apart from the time that messages take. Not thread-safe.
#ifndef CHERVIL_RETRY_PARTQUARANTINE_H
#define CHERVIL_RETRY_PARTQUARANTINE_H

#include "base/Time.h"
#include "message/PartEvidence.h"
#include "retry/RecentSet.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace chervil::retry {

/// Crashes after which a part is quarantined that was in no answer that went on. Two are not
/// enough: a sound part that is new may be in two requests that share servers with a crashing one.
inline constexpr std::size_t CrashesOfUnprovenPart = 3;
/// The same for a part that was in such an answer before the first of the crashes: it has become
/// a crashing one, or it shares requests with several crashing ones.
inline constexpr std::size_t CrashesOfProvenPart = 5;
/// Crashes less than this apart count as one: servers that end together, in an outage, say nothing
/// about what they were running.
inline constexpr Duration SameMoment = std::chrono::milliseconds(50);
/// Observations of one server less than this apart are of the same crash.
inline constexpr Duration SameDeath = std::chrono::seconds(1);
/// How long a crash is evidence. Afterwards a quarantined part is tried again, as it may have been
/// repaired.
inline constexpr Duration EvidenceTime = std::chrono::minutes(10);
/// Crashes, requests of a crash and parts of a request that are kept. Bounds memory and messages.
inline constexpr std::size_t MaxDeaths = 256;
inline constexpr std::size_t MaxSuspects = 8;
inline constexpr std::size_t MaxParts = 8;
/// A quarantined part is tried again this long after its last crash if it had the least number of
/// crashes, and after twice the time for each further crash: few crashes may be a coincidence.
inline constexpr Duration FirstProbeDelay = std::chrono::seconds(30);

using Parts = std::vector<std::uint64_t>;

struct Death {
  std::uint64_t Server = 0;
  TimePoint At{};
  /// The shared parts of each request whose answer broke off as it began.
  std::vector<Parts> Suspects;
};

struct PartQuarantine {
  /// In the order in which they became known.
  std::vector<Death> Deaths;
  /// All parts of suspect requests.
  std::unordered_set<std::uint64_t> SuspectParts;
  /// Last success of each of these parts, over all nodes.
  std::map<std::uint64_t, TimePoint> Successes;
  /// Last success of any part on this node.
  RecentSet OwnSuccesses;
  /// Sets of parts. A request that has all parts of one of them is quarantined. More than one part
  /// only if the evidence does not distinguish them.
  std::vector<Parts> Quarantined;
};

/// Records that the answers of a server to these requests broke off as they began. Returns the
/// evidence for the peers.
message::PartEvidence recordDeath(PartQuarantine &quarantine, std::uint64_t server,
                                  const std::vector<Parts> &suspects, const Now &now);

/// Records an answer that began and went on. Returns evidence for the peers if one of the parts is
/// suspect and they may not know of a success since then; otherwise it is empty.
message::PartEvidence recordSuccess(PartQuarantine &quarantine,
                                    std::span<const std::uint64_t> parts, const Now &now);

/// Merges the evidence of a peer. Returns what is new, and this node's successes of the parts that
/// have become suspect; both are to be forwarded.
message::PartEvidence mergeEvidence(PartQuarantine &quarantine,
                                    const message::PartEvidence &evidence, const Now &now);

inline bool isEmpty(const message::PartEvidence &evidence) {
  return evidence.Deaths.empty() && evidence.Successes.empty();
}

/// True if requests with these shared parts are not to be sent to a server.
bool isQuarantined(const PartQuarantine &quarantine, std::span<const std::uint64_t> parts);

/// True if one of the quarantined requests may be sent to find out whether it still crashes its
/// server.
bool isProbeDue(const PartQuarantine &quarantine, std::span<const std::uint64_t> parts,
                const Now &now);

/// Evidence that suffices for the present quarantines, for a node that may have missed it; empty if
/// nothing is quarantined.
message::PartEvidence evidenceOfQuarantines(const PartQuarantine &quarantine, const Now &now);

/// Drops evidence that is too old. Call it about once a second.
void prune(PartQuarantine &quarantine, const Now &now);

} // namespace chervil::retry

#endif
