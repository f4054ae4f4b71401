#include "record/MarkTable.h"

namespace chervil::record {
namespace {

/// Makes the second hash of a key independent of hashOf(key).
constexpr std::uint64_t KeyCheckSeed = 0x9e3779b97f4a7c15ULL;
/// Bounds the time of one tick when the marks of a burst expire together.
constexpr int MaxExpiredPerCall = 5000;

} // namespace

std::uint64_t keyCheckOf(const RequestKey &key) {
  return hashBytes(key.Key, hashBytes(key.Customer, KeyCheckSeed));
}

void addMark(MarkTable &table, std::uint64_t keyHash, const Mark &mark) {
  table.Entries[keyHash] = mark;
  table.Order.emplace_back(mark.Changed, keyHash);
}

const Mark *findMark(const MarkTable &table, const RequestKey &key) {
  const auto it = table.Entries.find(hashOf(key));
  if (it == table.Entries.end() || it->second.KeyCheck != keyCheckOf(key))
    return nullptr;
  return &it->second;
}

void eraseMark(MarkTable &table, const RequestKey &key) {
  const auto it = table.Entries.find(hashOf(key));
  if (it != table.Entries.end() && it->second.KeyCheck == keyCheckOf(key))
    table.Entries.erase(it);
}

void expireMarks(MarkTable &table, TimePoint limit) {
  for (int i = 0; i < MaxExpiredPerCall && !table.Order.empty(); ++i) {
    const auto [changed, hash] = table.Order.front();
    if (changed >= limit)
      return;
    table.Order.pop_front();
    const auto it = table.Entries.find(hash);
    if (it != table.Entries.end() && it->second.Changed < limit)
      table.Entries.erase(it);
  }
}

void eraseMarksOfShard(MarkTable &table, std::uint32_t shard) {
  std::erase_if(table.Entries, [&](const auto &it) { return it.second.Shard == shard; });
}

} // namespace chervil::record
