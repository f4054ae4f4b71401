// A local copy of all items under a prefix of the store. It is kept up to date by reading the items
// page by page and then watching for changes, or by reading periodically. Usage:
//   while (auto call = nextCall(mirror, now)) start(*call);    // on each tick and result
//   if (onChanges(mirror, changes, now)) use(mirror.Items);
// Pure: performs no I/O. At most one call is pending at a time.
#ifndef CHERVIL_STORE_MIRROR_H
#define CHERVIL_STORE_MIRROR_H

#include "base/Random.h"
#include "base/Time.h"
#include "store/Item.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace chervil::store {

/// Settings of a mirror.
struct MirrorOptions {
  /// Prefix of the mirrored keys.
  std::string Prefix;
  /// Interval between two reads; zero means to watch instead. A watch returns after each change, so
  /// that polling needs fewer calls where items change often.
  Duration PollPeriod{0};
  /// How long the store holds a watch open without a change.
  std::chrono::milliseconds WatchWait{10000};
  /// Bound on a reading, which may be repeated at once. With a longer bound one lost answer and the
  /// time between two readings take more than the 2 s in which a leaving server must be known.
  std::chrono::milliseconds ReadTimeout{600};
  /// The bound doubles with each failure up to this one: a large item takes longer on a slow link.
  std::chrono::milliseconds MaxReadTimeout{600};
  /// Delay before the retry of a failed call. Starts at the minimum and doubles with each further
  /// failure up to the maximum; jitter shortens it by up to half.
  Duration MinRetryDelay = std::chrono::milliseconds(100);
  Duration MaxRetryDelay = std::chrono::milliseconds(800);
};

/// A call to the store.
struct MirrorCall {
  enum class Kind : std::uint8_t { ReadPage, Watch };
  Kind Type = Kind::ReadPage;
  std::string Prefix;
  /// For ReadPage: the page starts after this key.
  std::string AfterKey;
  /// For Watch: changes after this revision are reported.
  std::uint64_t AfterRevision = 0;
  /// For Watch: how long the store holds the call open.
  std::chrono::milliseconds Wait{0};
  /// For ReadPage: bound on the call.
  std::chrono::milliseconds Timeout{0};
};

/// A local copy and the state of its synchronisation.
struct Mirror {
  MirrorOptions Options;
  std::map<std::string, Item> Items;
  /// Revision that Items reflect; 0 until they have been read once.
  std::uint64_t Revision = 0;
  /// Newest known era of the store; see Position. 0 if unknown.
  std::uint64_t Era = 0;
  /// The same when Items were read: until they have been read again after a restore, their
  /// revisions belong to an earlier era.
  std::uint64_t ItemsEra = 0;
  /// Time of the last answer of the store.
  std::optional<TimePoint> LastAnswer;
  /// When the store was last back after an outage, or from an older copy; empty if it has answered
  /// since the start of this node. Items may be missing for a while afterwards, until their owners
  /// have written them again.
  std::optional<TimePoint> ReturnedAt;
  /// Last time that a read by another node was applied here.
  std::optional<TimePoint> LastSharedRead;
  /// Consecutive failed calls.
  unsigned Failures = 0;

  /// Last time at which Items are known to have been the newest state of the store.
  std::optional<TimePoint> CurrentAt;

  bool CallPending = false;
  bool CheckPending = false;
  /// When the last call and the last check were started, and when a call last ended.
  TimePoint CallStarted{};
  TimePoint CallEnded{};
  TimePoint CheckStarted{};
  bool Watching = false;
  TimePoint NextCall{};
  /// Items of the pages read so far, the last key of them, and the revision of the first page.
  std::map<std::string, Item> PartialItems;
  std::string AfterKey;
  std::uint64_t ReadRevision = 0;
};

Mirror makeMirror(MirrorOptions options);

/// Returns the watch time to use with `nodes` nodes that forward changes to each other. It
/// increases with the number of nodes: the more nodes watch, the less it matters if one of them
/// silently loses its connection, and each call costs money.
std::chrono::milliseconds watchWaitOf(std::size_t nodes);

/// Sets the retry delays for a fleet of `nodes` nodes. Watchers retry quickly and tell the others
/// when the store is back; the others retry more slowly the more there are, so that an outage does
/// not cost more calls in a larger fleet.
void setRetryDelays(MirrorOptions &options, std::size_t nodes, bool isWatcher);

/// Returns the next call if one is due. It is pending until one of the functions below is called.
std::optional<MirrorCall> nextCall(Mirror &mirror, const Now &now);

/// Apply the answer to a read or a watch. Return true if Items may have changed.
bool onPage(Mirror &mirror, Page page, const Now &now);
bool onChanges(Mirror &mirror, const Changes &changes, const Now &now);
/// The store no longer has the history that the watch needs. All items are read again.
void onHistoryLost(Mirror &mirror, const Now &now);
/// The call failed. Items are kept; a read that was in progress starts again at the first page.
void onCallFailed(Mirror &mirror, const Now &now, Random &rng);
/// The store has come back from an older copy. All items are read again, and those that are missing
/// are waited for as after an outage, because their owners write them again. The caller ignores the
/// answer to a call that began before. Does nothing unless `era` is later than the current one, and
/// only notes the era if nothing has been read yet.
void onRestored(Mirror &mirror, std::uint64_t era, const Now &now);
/// This node cancelled the pending call; the next call is due immediately.
void onInterrupted(Mirror &mirror, const Now &now);

/// Returns a call that asks for changes without waiting for them, if the items were not known to be
/// current within `maxAge`. The store may lose a watch that waits; its silence then looks like the
/// absence of changes. Empty unless the mirror watches and no check is pending. The check is
/// pending until one of the two functions below is called.
std::optional<MirrorCall> nextCheck(Mirror &mirror, Duration maxAge, const Now &now);
/// Applies the answer to a check. Returns true if Items may have changed: the pending watch is lost
/// or late, and the caller cancels it and calls onInterrupted().
bool onCheck(Mirror &mirror, const Changes &changes);
void onCheckFailed(Mirror &mirror);

/// Schedules the next read after a read by this node or by another node that shared its result.
/// Each node has a rank that changes with each read. The node with rank 0 reads first, and the
/// others schedule their reads anew when they receive its result, so that all nodes together make
/// only a few calls per second to the store. Does nothing while a call is pending or a failed one
/// is to be retried.
void scheduleNextRead(Mirror &mirror, std::size_t rank, const Now &now);

/// Another node has read the items, and this node has received the result.
void onSharedRead(Mirror &mirror, std::size_t rank, const Now &now);

/// True if the store answered the last call recently, or if a read by another node was applied
/// recently. Otherwise, changes may be missing.
bool isConnected(const Mirror &mirror, const Now &now);

/// True once all items have been read.
inline bool isComplete(const Mirror &mirror) { return mirror.Revision != 0; }

} // namespace chervil::store

#endif
