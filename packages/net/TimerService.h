// Timers that parts subscribe to. Use:
//   TimerService timers(loop);
//   TimerId id = every(timers, 50ms, [&] { tick(); });
//   cancel(timers, id);
#ifndef CHERVIL_NET_TIMERSERVICE_H
#define CHERVIL_NET_TIMERSERVICE_H

#include "base/Time.h"
#include "net/Loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace chervil::net {

using TimerId = std::uint64_t;

struct TimerService;

namespace detail {
struct TimerEntry {
  ev_timer Watcher;
  TimerService *Service;
  TimerId Id;
  bool Repeats;
  std::function<void()> Callback;
};
} // namespace detail

/// Owns all timers of a loop; must outlive its subscribers' use of it and not outlive the loop.
struct TimerService {
  explicit TimerService(Loop &loop) : Raw(loop.Raw.get()) {}
  ~TimerService();
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  struct ev_loop *Raw;
  TimerId NextId = 1;
  std::unordered_map<TimerId, std::unique_ptr<detail::TimerEntry>> Entries;
};

/// Calls `callback` every `period`, first after one period.
TimerId every(TimerService &service, Duration period, std::function<void()> callback);

/// Calls `callback` once, after `delay`.
TimerId after(TimerService &service, Duration delay, std::function<void()> callback);

/// Ends a subscription; does nothing for one that has ended. May be called from the callback.
void cancel(TimerService &service, TimerId id);

} // namespace chervil::net

#endif
