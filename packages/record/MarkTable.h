// Table of marks: compact entries for non-repeatable keys whose records have ended. Use:
//   addMark(table, hashOf(key), mark);
//   if (const Mark *it = findMark(table, key)) ...
#ifndef CHERVIL_RECORD_MARKTABLE_H
#define CHERVIL_RECORD_MARKTABLE_H

#include "base/RequestKey.h"
#include "base/Time.h"
#include "message/RecordState.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace chervil::record {

/// What is kept of an ended record. 48 bytes; with its key hash a mark may take 64.
struct Mark {
  /// Second hash of the key, see keyCheckOf().
  std::uint64_t KeyCheck = 0;
  std::uint64_t BodyHash = 0;
  /// Last change of the record, for expiry.
  TimePoint Changed{};
  std::uint32_t Shard = 0;
  std::uint32_t Attempt = 0;
  std::uint32_t Run = 0;
  message::RecordState State = message::RecordState::Unknown;
};
static_assert(sizeof(Mark) <= 56, "with its key hash a mark takes at most 64 bytes");

struct MarkTable {
  /// By hashOf(key).
  std::unordered_map<std::uint64_t, Mark> Entries;
  /// Time of change and key hash in the order of insertion, for expiry.
  std::deque<std::pair<TimePoint, std::uint64_t>> Order;
};

/// Returns a second hash of a key, independent of hashOf(key).
std::uint64_t keyCheckOf(const RequestKey &key);

/// Adds or replaces the mark of a key. Of two keys with the same hash only the newer mark is kept;
/// KeyCheck tells them apart, so that the older key counts as unknown.
void addMark(MarkTable &table, std::uint64_t keyHash, const Mark &mark);

/// Returns the mark of a key, or nullptr. The pointer is valid until the table changes.
const Mark *findMark(const MarkTable &table, const RequestKey &key);

/// Removes the mark of a key, if there is one.
void eraseMark(MarkTable &table, const RequestKey &key);

/// Removes marks that last changed before `limit`, a bounded number per call.
void expireMarks(MarkTable &table, TimePoint limit);

/// Removes all marks of a shard.
void eraseMarksOfShard(MarkTable &table, std::uint32_t shard);

} // namespace chervil::record

#endif
