// Acquires a key of the key-value service under a lease and keeps it. Use:
//   auto duty = startLeaseHolder(client, {.Key = "duty/shards", .Holder = "pamplona-1"},
//       {.OnAcquired = [](std::uint64_t fencing) {...}, .OnLost = [] {...}});
//   if (isHeld(*duty, now.Steady)) ...
#ifndef CHERVIL_PLATFORM_LEASEHOLDER_H
#define CHERVIL_PLATFORM_LEASEHOLDER_H

#include "base/Time.h"
#include "platform/PlatformClient.h"

namespace chervil::platform {

struct LeaseHolderOptions {
  std::string Key;
  /// Identity written into the key, as {"holder": HOLDER, "lease": ID}.
  std::string Holder;
  std::chrono::milliseconds Ttl{5000};
  /// Subtracted from the lifetime, for differences between the clocks' speeds and late timers.
  std::chrono::milliseconds Margin{500};
  /// Waits between attempts to acquire a key that another holds are random between half of this
  /// and this.
  std::chrono::milliseconds RetryPeriod{5000};
};

struct LeaseHolderCallbacks {
  /// The fencing number is the key's revision, which rises with each acquisition by any node.
  std::function<void(std::uint64_t fencing)> OnAcquired;
  std::function<void()> OnLost;
};

struct LeaseHolder;
/// Destroying it ends the attempts without callbacks and leaves a held lease to expire.
using LeaseHolderPtr = std::shared_ptr<LeaseHolder>;

LeaseHolderPtr startLeaseHolder(PlatformClient &client, LeaseHolderOptions options,
                                LeaseHolderCallbacks callbacks);

/// Until when the key is certainly held: the lifetime counted from before the last keepalive that
/// succeeded was sent, less the margin. TimePoint{} if not held. Compare with the present time
/// before each use: a process that was paused may find its timers late.
TimePoint validUntil(const LeaseHolder &holder);

bool isHeld(const LeaseHolder &holder, TimePoint now);

/// 0 if not held.
std::uint64_t fencingNumber(const LeaseHolder &holder);

/// Tries to acquire at once, for example when a watch showed that the key is gone. No effect while
/// held or during an attempt.
void tryNow(LeaseHolder &holder);

/// Gives the lease back and stops; calls OnLost if it was held.
void release(LeaseHolder &holder);

} // namespace chervil::platform

#endif
