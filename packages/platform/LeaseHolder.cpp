#include "platform/LeaseHolder.h"

#include "platform/KvClient.h"
#include "platform/detail/Client.h"

#include <algorithm>

namespace chervil::platform {

namespace {
enum class Phase : std::uint8_t { Waiting, Acquiring, Held, Stopped };
} // namespace

struct LeaseHolder : std::enable_shared_from_this<LeaseHolder> {
  PlatformClient *Client = nullptr;
  LeaseHolderOptions Options;
  LeaseHolderCallbacks Callbacks;
  Phase At = Phase::Waiting;
  net::TimerId Timer = 0;
  net::TimerId Expiry = 0;
  KvLease Lease;
  /// Before the call that created or last renewed the lease was sent.
  TimePoint Sent{};
  TimePoint ValidUntil{};
  std::uint64_t Fencing = 0;
  std::chrono::milliseconds Backoff{0};

  LeaseHolder() = default;
  LeaseHolder(const LeaseHolder &) = delete;
  LeaseHolder &operator=(const LeaseHolder &) = delete;
  ~LeaseHolder() {
    cancel(*Client->Timers, Timer);
    cancel(*Client->Timers, Expiry);
  }
};

namespace {

void acquire(LeaseHolder &h);
void resolve(LeaseHolder &h);
void renew(LeaseHolder &h);

TimePoint now() { return net::readNow().Steady; }

/// `step` with the holder, unless it has been destroyed.
template <typename F> auto guarded(LeaseHolder &h, F step) {
  return [weak = h.weak_from_this(), step](auto &&...args) {
    if (const auto strong = weak.lock())
      step(*strong, std::forward<decltype(args)>(args)...);
  };
}

void schedule(LeaseHolder &h, Duration delay, void (*step)(LeaseHolder &)) {
  cancel(*h.Client->Timers, h.Timer);
  h.Timer = after(*h.Client->Timers, std::max(delay, Duration::zero()), guarded(h, step));
}

void waitAndRetry(LeaseHolder &h) {
  h.At = Phase::Waiting;
  const std::int64_t period = h.Options.RetryPeriod.count();
  std::uniform_int_distribution<std::int64_t> pick(period / 2, std::max<std::int64_t>(period, 1));
  schedule(h, std::chrono::milliseconds(pick(h.Client->Rng)), acquire);
}

/// Gives up an attempt; its lease, if any, is deleted so that the key cannot be taken late.
void abandon(LeaseHolder &h) {
  if (!h.Lease.Id.empty())
    deleteLease(*h.Client, std::exchange(h.Lease.Id, {}), [](const CallResult<bool> &) {});
  waitAndRetry(h);
}

void lose(LeaseHolder &h) {
  cancel(*h.Client->Timers, h.Expiry);
  h.ValidUntil = {};
  h.Fencing = 0;
  abandon(h);
  if (h.Callbacks.OnLost)
    h.Callbacks.OnLost();
}

void watchExpiry(LeaseHolder &h) {
  cancel(*h.Client->Timers, h.Expiry);
  h.Expiry = after(*h.Client->Timers, std::max(h.ValidUntil - now(), Duration::zero()),
                   guarded(h, [](LeaseHolder &it) {
                     if (it.At == Phase::Held)
                       lose(it);
                   }));
}

Duration lifetime(const LeaseHolder &h) { return h.Lease.Ttl - h.Options.Margin; }

void hold(LeaseHolder &h, std::uint64_t revision) {
  if (now() >= h.Sent + lifetime(h))
    return abandon(h);
  h.At = Phase::Held;
  h.Fencing = revision;
  h.ValidUntil = h.Sent + lifetime(h);
  h.Backoff = {};
  watchExpiry(h);
  schedule(h, Duration(h.Lease.Ttl) / 3, renew);
  if (h.Callbacks.OnAcquired)
    h.Callbacks.OnAcquired(revision);
}

std::string valueOf(const LeaseHolder &h) {
  return detail::Json{{"holder", h.Options.Holder}, {"lease", h.Lease.Id}}.dump();
}

void putEnded(LeaseHolder &h, const CallResult<std::uint64_t> &r) {
  if (h.At != Phase::Acquiring)
    return;
  if (r.Outcome == CallOutcome::Done)
    hold(h, r.Value);
  else if (r.Outcome == CallOutcome::Unknown)
    resolve(h);
  else
    abandon(h);
}

/// The answer to the write was lost. The lease id in the value shows whose write took effect.
void resolve(LeaseHolder &h) {
  if (now() >= h.Sent + lifetime(h))
    return abandon(h);
  kvGet(*h.Client, h.Options.Key, guarded(h, [](LeaseHolder &it, const CallResult<KvItem> &r) {
    if (it.At != Phase::Acquiring)
      return;
    if (r.Outcome == CallOutcome::Done && r.Value.Value == valueOf(it))
      return hold(it, r.Value.Revision);
    // A key that is absent now may still be written by a delayed request, but only under the
    // lease that abandon() deletes.
    if (r.Outcome == CallOutcome::Done || r.Outcome == CallOutcome::NotFound)
      return abandon(it);
    it.Backoff = detail::nextBackoff(*it.Client, it.Backoff);
    schedule(it, it.Backoff, resolve);
  }));
}

void leaseCreated(LeaseHolder &h, const CallResult<KvLease> &r) {
  if (h.At != Phase::Acquiring)
    return;
  if (r.Outcome != CallOutcome::Done)
    return waitAndRetry(h);
  h.Lease = r.Value;
  kvPut(*h.Client, h.Options.Key, valueOf(h), 0, h.Lease.Id, guarded(h, putEnded));
}

/// Reads first, because most attempts find the key held and then need no write.
void acquire(LeaseHolder &h) {
  if (h.At != Phase::Waiting)
    return;
  h.At = Phase::Acquiring;
  kvGet(*h.Client, h.Options.Key, guarded(h, [](LeaseHolder &it, const CallResult<KvItem> &r) {
    if (it.At != Phase::Acquiring)
      return;
    if (r.Outcome != CallOutcome::NotFound)
      return waitAndRetry(it);
    it.Sent = now();
    createLease(*it.Client, it.Options.Ttl, guarded(it, leaseCreated));
  }));
}

void renew(LeaseHolder &h) {
  if (h.At != Phase::Held)
    return;
  const TimePoint sent = now();
  const std::string id = h.Lease.Id;
  keepLeaseAlive(*h.Client, id, guarded(h, [sent, id](LeaseHolder &it, const CallResult<bool> &r) {
    if (it.At != Phase::Held || it.Lease.Id != id)
      return;
    if (r.Outcome == CallOutcome::Done) {
      it.Backoff = {};
      it.ValidUntil = std::max(it.ValidUntil, sent + lifetime(it));
      watchExpiry(it);
      return schedule(it, Duration(it.Lease.Ttl) / 3, renew);
    }
    if (r.Outcome == CallOutcome::NotFound || r.Outcome == CallOutcome::Conflict)
      return lose(it);
    it.Backoff = detail::nextBackoff(*it.Client, it.Backoff);
    schedule(it, std::min(Duration(it.Backoff), Duration(it.Lease.Ttl) / 3), renew);
  }));
}

} // namespace

LeaseHolderPtr startLeaseHolder(PlatformClient &client, LeaseHolderOptions options,
                                LeaseHolderCallbacks callbacks) {
  auto h = std::make_shared<LeaseHolder>();
  h->Client = &client;
  h->Options = std::move(options);
  h->Callbacks = std::move(callbacks);
  schedule(*h, Duration::zero(), acquire);
  return h;
}

TimePoint validUntil(const LeaseHolder &holder) { return holder.ValidUntil; }

bool isHeld(const LeaseHolder &holder, TimePoint now) {
  return holder.At == Phase::Held && now < holder.ValidUntil;
}

std::uint64_t fencingNumber(const LeaseHolder &holder) { return holder.Fencing; }

void tryNow(LeaseHolder &holder) {
  if (holder.At == Phase::Waiting)
    schedule(holder, Duration::zero(), acquire);
}

void release(LeaseHolder &holder) {
  if (holder.At == Phase::Held)
    lose(holder);
  else if (!holder.Lease.Id.empty())
    abandon(holder);
  holder.At = Phase::Stopped;
  cancel(*holder.Client->Timers, holder.Timer);
}

} // namespace chervil::platform
