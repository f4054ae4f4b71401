// A copy of the items under one prefix of the store, kept up to date by reading it in pages and
// then watching it, or by reading it again and again. Use:
//   while (auto call = nextCall(mirror, now)) start(*call);    // on each tick and result
//   if (onChanges(mirror, changes, now)) use(mirror.Items);
// Pure; one call is under way at a time.
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

struct MirrorOptions {
  std::string Prefix;
  /// Time between two readings; zero watches instead. A watch returns at each change, so that
  /// reading costs less where items change often.
  Duration PollPeriod{0};
  /// How long a watch waits in the store.
  std::chrono::milliseconds WatchWait{10000};
  /// Pause after a failed call; doubled with each further failure up to the longest.
  Duration MinRetryDelay = std::chrono::milliseconds(100);
  Duration MaxRetryDelay = std::chrono::milliseconds(800);
};

struct MirrorCall {
  enum class Kind : std::uint8_t { ReadPage, Watch };
  Kind Type = Kind::ReadPage;
  std::string Prefix;
  /// ReadPage: the key after which the page begins.
  std::string AfterKey;
  /// Watch: the revision after which changes are reported.
  std::uint64_t AfterRevision = 0;
  std::chrono::milliseconds Wait{0};
};

struct Mirror {
  MirrorOptions Options;
  std::map<std::string, Item> Items;
  /// Revision that Items reflect; 0 until they were read once.
  std::uint64_t Revision = 0;
  /// Last answer of the store, and when the contact began that lasts until now.
  std::optional<TimePoint> LastAnswer;
  TimePoint ConnectedSince{};
  /// Last reading of another node that this one shares.
  std::optional<TimePoint> LastSharedRead;
  unsigned Failures = 0;

  bool CallPending = false;
  bool Watching = false;
  TimePoint NextCall{};
  /// Pages read so far.
  std::map<std::string, Item> PartialItems;
  std::string AfterKey;
  std::uint64_t ReadRevision = 0;
};

Mirror makeMirror(MirrorOptions options);

/// How long a watch waits at `nodes` nodes that tell each other what it shows: the more watch, the
/// less it matters that one of them has silently been cut off. Each call has a price.
std::chrono::milliseconds watchWaitOf(std::size_t nodes);

/// The next call, if it is due. It counts as under way until one of the functions below.
std::optional<MirrorCall> nextCall(Mirror &mirror, const Now &now);

/// Each returns true if Items may have changed.
bool onPage(Mirror &mirror, Page page, const Now &now);
bool onChanges(Mirror &mirror, const Changes &changes, const Now &now);
/// The store no longer has the history that the watch needs: everything is read again.
void onHistoryLost(Mirror &mirror, const Now &now);
void onCallFailed(Mirror &mirror, const Now &now, Random &rng);
/// The call under way was given up by this node: the next one follows at once.
void onInterrupted(Mirror &mirror, const Now &now);

/// Sets the time of the next reading after one of this node or of another that shares it. Each node
/// has a rank, which changes from reading to reading: the first one reads, and the others begin to
/// wait again when they hear of it, so that the store gets a few calls a second from all together.
/// Does nothing while the store has to be tried again.
void scheduleNextRead(Mirror &mirror, std::size_t rank, const Now &now);

/// Another node has read the items, and this one has what it read.
void onSharedRead(Mirror &mirror, std::size_t rank, const Now &now);

/// The last call was answered, and not long ago, or another node's reading is shared. Changes may
/// be missed otherwise.
bool isConnected(const Mirror &mirror, const Now &now);

inline bool isComplete(const Mirror &mirror) { return mirror.Revision != 0; }

} // namespace chervil::store

#endif
