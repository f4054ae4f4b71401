// The key-value service without its sockets: compare-and-swap, leases, history. Use:
//   KvStore store;
//   KvReply r = put(store, "a", "1", {.IfRevision = 0});
#ifndef CHERVIL_TESTING_STANDIN_KVSTORE_H
#define CHERVIL_TESTING_STANDIN_KVSTORE_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::standin {

struct KvItem {
  std::string Value;
  std::uint64_t Revision = 0;
  /// Empty when the key is attached to no lease.
  std::string Lease;
};

struct KvEvent {
  std::string Key;
  /// Nothing for a deletion.
  std::optional<std::string> Value;
  std::uint64_t Revision = 0;
};

struct KvLease {
  std::chrono::milliseconds Ttl{0};
  TimePoint End;
  std::set<std::string> Keys;
};

struct KvStore {
  std::uint64_t Revision = 0;
  std::uint64_t NextLease = 1;
  std::map<std::string, KvItem, std::less<>> Items;
  std::map<std::string, KvLease, std::less<>> Leases;
  /// Revisions are contiguous; the last one is Revision.
  std::deque<KvEvent> History;
};

enum class KvStatus : std::uint8_t { Done, Conflict, NoLease };

struct KvReply {
  KvStatus Status = KvStatus::Done;
  /// Of the write when done; of the key (0 if absent) on a conflict.
  std::uint64_t Revision = 0;
};

struct PutOptions {
  /// 0 means that the key must not exist; nothing means an unconditional write.
  std::optional<std::uint64_t> IfRevision;
  std::string Lease;
};

KvReply put(KvStore &store, const std::string &key, std::string value, const PutOptions &options);
KvReply remove(KvStore &store, const std::string &key, std::optional<std::uint64_t> ifRevision);

std::string addLease(KvStore &store, std::chrono::milliseconds ttl, TimePoint now);
/// The lease's time to live, or nothing if it has ended.
std::optional<std::chrono::milliseconds> keepAlive(KvStore &store, const std::string &id,
                                                   TimePoint now);
/// Deletes the keys attached to the lease. False if it has ended.
bool dropLease(KvStore &store, const std::string &id);
/// Drops the leases that have ended. True if a key was deleted.
bool expireLeases(KvStore &store, TimePoint now);

/// Events after `after` under `prefix`; nothing if the history does not reach back that far, or if
/// `after` is newer than the store.
std::optional<std::vector<KvEvent>> eventsAfter(const KvStore &store, std::string_view prefix,
                                                std::uint64_t after);

} // namespace chervil::standin

#endif
