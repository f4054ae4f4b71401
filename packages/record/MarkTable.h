// Compact table of non-repeatable keys whose records have ended. Use:
//   addMark(table, key, mark, now.Steady);
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

/// 48 bytes; the budget is 64.
struct Mark {
  std::uint64_t KeyCheck = 0;
  std::uint64_t BodyHash = 0;
  TimePoint Changed{};
  std::uint32_t Shard = 0;
  std::uint32_t Attempt = 0;
  std::uint32_t Run = 0;
  message::RecordState State = message::RecordState::Unknown;
};
static_assert(sizeof(Mark) <= 56, "with its key hash a mark takes at most 64 bytes");

struct MarkTable {
  std::unordered_map<std::uint64_t, Mark> Entries;
  /// Insertion order, for expiry.
  std::deque<std::pair<TimePoint, std::uint64_t>> Order;
};

/// Second hash of a key, independent of hashOf(key).
std::uint64_t keyCheckOf(const RequestKey &key);

/// Adds or replaces the mark of a key. Two keys with the same hash share the newer mark's place;
/// the older one is then answered like an unknown key of the other, which KeyCheck detects.
void addMark(MarkTable &table, std::uint64_t keyHash, const Mark &mark);

/// The mark of a key, or nullptr.
const Mark *findMark(const MarkTable &table, const RequestKey &key);

void eraseMark(MarkTable &table, const RequestKey &key);

/// Drops marks that last changed before `limit`; bounded work per call.
void expireMarks(MarkTable &table, TimePoint limit);

/// Drops all marks of a shard.
void eraseMarksOfShard(MarkTable &table, std::uint32_t shard);

} // namespace chervil::record

#endif
