#include "store/Mirror.h"

#include <algorithm>
#include <random>

namespace chervil::store {
namespace {

/// A mirror that has not called the store for this long reads all items again instead of asking for
/// every change since then.
constexpr Duration MaxWatchGap = std::chrono::seconds(5);
// Keeps the doubled delays within their type; both are cut at a maximum of their own.
constexpr unsigned MaxDoublings = 10;

void onAnswer(Mirror &mirror, const Now &now) {
  // A call that failed while other nodes could read is no outage.
  if (mirror.Failures > 0 && !isConnected(mirror, now))
    mirror.ReturnedAt = now.Steady;
  mirror.LastAnswer = mirror.CallEnded = now.Steady;
  mirror.Failures = 0;
  mirror.CallPending = false;
}

void resetRead(Mirror &mirror) {
  mirror.Watching = false;
  mirror.PartialItems.clear();
  mirror.AfterKey.clear();
  mirror.ReadRevision = 0;
}

} // namespace

Mirror makeMirror(MirrorOptions options) {
  Mirror mirror;
  mirror.Options = std::move(options);
  return mirror;
}

void setRetryDelays(MirrorOptions &options, std::size_t nodes, bool isWatcher) {
  // The calls of all other nodes together are then at most about 13 per second and mirror.
  constexpr Duration perNode = std::chrono::milliseconds(100);
  constexpr Duration most = std::chrono::seconds(30);
  constexpr int firstFraction = 8;
  const Duration least = MirrorOptions{}.MaxRetryDelay;
  options.MaxRetryDelay =
      isWatcher ? least : std::clamp(perNode * static_cast<std::int64_t>(nodes), least, most);
  options.MinRetryDelay = options.MaxRetryDelay / firstFraction;
}

std::chrono::milliseconds watchWaitOf(std::size_t nodes) {
  using std::chrono::milliseconds;
  // The store allows at most 30 s.
  return std::clamp(milliseconds(400) * static_cast<std::int64_t>(nodes), milliseconds(10'000),
                    milliseconds(28'000));
}

std::optional<MirrorCall> nextCall(Mirror &mirror, const Now &now) {
  if (mirror.CallPending || now.Steady < mirror.NextCall)
    return std::nullopt;
  mirror.CallPending = true;
  mirror.CallStarted = now.Steady;
  if (mirror.Watching && now.Steady - mirror.CallEnded > MaxWatchGap)
    resetRead(mirror);
  MirrorCall call;
  call.Prefix = mirror.Options.Prefix;
  if (mirror.Watching) {
    call.Type = MirrorCall::Kind::Watch;
    call.AfterRevision = mirror.Revision;
    call.Wait = mirror.Options.WatchWait;
  } else {
    call.AfterKey = mirror.AfterKey;
    const unsigned doublings = std::min(mirror.Failures, MaxDoublings);
    call.Timeout =
        std::min(mirror.Options.MaxReadTimeout, mirror.Options.ReadTimeout * (1 << doublings));
  }
  return call;
}

bool onPage(Mirror &mirror, Page page, const Now &now) {
  onAnswer(mirror, now);
  // Changes during the read are reported by a watch that starts at the revision of the first page.
  if (mirror.ReadRevision == 0) {
    mirror.ReadRevision = page.AsOf;
    mirror.CurrentAt = std::max(mirror.CurrentAt.value_or(TimePoint{}), mirror.CallStarted);
  }
  for (Item &it : page.Items) {
    mirror.AfterKey = it.Key;
    std::string key = it.Key;
    mirror.PartialItems.insert_or_assign(std::move(key), std::move(it));
  }
  if (page.HasMore && !page.Items.empty())
    return false;
  mirror.Items = std::move(mirror.PartialItems);
  mirror.ItemsEra = mirror.Era;
  mirror.Revision = std::max<std::uint64_t>(1, mirror.ReadRevision);
  resetRead(mirror);
  if (mirror.Options.PollPeriod > Duration{0})
    mirror.NextCall = now.Steady + mirror.Options.PollPeriod;
  else
    mirror.Watching = true;
  return true;
}

namespace {

void applyChanges(Mirror &mirror, const Changes &changes) {
  for (const Change &it : changes.Events) {
    // A later page may already have contained a newer state than this change.
    const auto held = mirror.Items.find(it.Item.Key);
    if (held != mirror.Items.end() && held->second.Revision >= it.Item.Revision)
      continue;
    if (it.Removed)
      mirror.Items.erase(it.Item.Key);
    else
      mirror.Items.insert_or_assign(it.Item.Key, it.Item);
  }
  mirror.Revision = std::max(mirror.Revision, changes.AsOf);
}

} // namespace

bool onChanges(Mirror &mirror, const Changes &changes, const Now &now) {
  onAnswer(mirror, now);
  applyChanges(mirror, changes);
  mirror.CurrentAt = now.Steady;
  return !changes.Events.empty();
}

std::optional<MirrorCall> nextCheck(Mirror &mirror, Duration maxAge, const Now &now) {
  const bool isRecent = mirror.CurrentAt && now.Steady - *mirror.CurrentAt <= maxAge;
  if (mirror.CheckPending || !mirror.Watching || isRecent)
    return std::nullopt;
  mirror.CheckPending = true;
  mirror.CheckStarted = now.Steady;
  return MirrorCall{.Type = MirrorCall::Kind::Watch,
                    .Prefix = mirror.Options.Prefix,
                    .AfterKey = {},
                    .AfterRevision = mirror.Revision,
                    .Wait = std::chrono::milliseconds(1),
                    .Timeout = mirror.Options.ReadTimeout};
}

bool onCheck(Mirror &mirror, const Changes &changes) {
  mirror.CheckPending = false;
  applyChanges(mirror, changes);
  mirror.CurrentAt = std::max(mirror.CurrentAt.value_or(TimePoint{}), mirror.CheckStarted);
  return !changes.Events.empty();
}

void onCheckFailed(Mirror &mirror) { mirror.CheckPending = false; }

void onHistoryLost(Mirror &mirror, const Now &now) {
  onAnswer(mirror, now);
  resetRead(mirror);
}

void onRestored(Mirror &mirror, std::uint64_t era, const Now &now) {
  if (era <= mirror.Era)
    return;
  const bool isFirst = mirror.Era == 0 && mirror.Revision == 0;
  mirror.Era = era;
  if (isFirst) {
    mirror.ItemsEra = era;
    return;
  }
  mirror.NextCall = now.Steady;
  mirror.ReturnedAt = now.Steady;
  resetRead(mirror);
}

void onInterrupted(Mirror &mirror, const Now &now) {
  mirror.CallPending = false;
  mirror.CallEnded = now.Steady;
  mirror.NextCall = now.Steady;
}

void scheduleNextRead(Mirror &mirror, std::size_t rank, const Now &now) {
  // A call starts up to one tick of 100 ms late; reading and forwarding the result take another 20
  // to 50 ms.
  constexpr Duration perRank = std::chrono::milliseconds(150);
  // A node that receives nothing from other nodes must still see a change within 2 s, with one call
  // of 600 ms that gets no answer on the way.
  constexpr Duration maxRankDelay = std::chrono::milliseconds(1000);
  // The ranks of a large fleet that come later are spread over this time, so that not all nodes
  // read at once when the first ones are silent.
  constexpr Duration spread = std::chrono::milliseconds(500);
  constexpr std::size_t smallFleet = 16;
  if (mirror.Failures > 0 || mirror.CallPending)
    return;
  Duration delay = std::min<Duration>(
      perRank * static_cast<std::int64_t>(std::min(rank, smallFleet)), maxRankDelay);
  if (rank > smallFleet)
    delay += spread - spread / static_cast<std::int64_t>(rank - smallFleet + 1);
  mirror.NextCall = now.Steady + mirror.Options.PollPeriod + delay;
}

void onSharedRead(Mirror &mirror, std::size_t rank, const Now &now) {
  const bool wasConnected = mirror.LastAnswer || mirror.LastSharedRead;
  if (wasConnected && !isConnected(mirror, now))
    mirror.ReturnedAt = now.Steady;
  mirror.LastSharedRead = now.Steady;
  scheduleNextRead(mirror, rank, now);
}

bool isConnected(const Mirror &mirror, const Now &now) {
  // If there was no answer for this long, the store counts as unreachable although no call failed.
  constexpr Duration maxAnswerAge = std::chrono::milliseconds(2500);
  // A node whose own calls fail relies on other nodes, which forward the result of each read.
  constexpr Duration maxSharedReadAge = std::chrono::milliseconds(1000);
  const auto isFresh = [&](const std::optional<TimePoint> &at, Duration within) {
    return at && now.Steady - *at < within;
  };
  if (mirror.Failures > 0)
    return isFresh(mirror.LastSharedRead, maxSharedReadAge);
  return isFresh(mirror.LastAnswer, maxAnswerAge) || isFresh(mirror.LastSharedRead, maxAnswerAge);
}

void onCallFailed(Mirror &mirror, const Now &now, Random &rng) {
  mirror.CallPending = false;
  mirror.CallEnded = now.Steady;
  ++mirror.Failures;
  const unsigned doublings = std::min(mirror.Failures - 1, MaxDoublings);
  const Duration pause =
      std::min(mirror.Options.MaxRetryDelay, mirror.Options.MinRetryDelay * (1 << doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  mirror.NextCall = now.Steady + std::chrono::duration_cast<Duration>(pause * jitter(rng));
  if (!mirror.Watching)
    resetRead(mirror);
}

} // namespace chervil::store
