// The event loop of a process: one loop on one thread. Use:
//   Loop loop;
//   onSignal(loop, SIGTERM, [&] { stop(loop); });
//   run(loop);
#ifndef CHERVIL_NET_LOOP_H
#define CHERVIL_NET_LOOP_H

#include "base/Time.h"

#include <ev.h>
#include <functional>
#include <memory>
#include <vector>

namespace chervil::net {

namespace detail {
struct SignalWatcher {
  ev_signal Watcher;
  std::function<void()> Callback;
};
struct LoopDeleter {
  void operator()(struct ev_loop *raw) const { ev_loop_destroy(raw); }
};
} // namespace detail

/// Owns a libev loop. Everything attached to it must be destroyed before it.
struct Loop {
  Loop();
  /// Detaches the signals, which another loop may then handle.
  ~Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;

  std::unique_ptr<struct ev_loop, detail::LoopDeleter> Raw;
  std::vector<std::unique_ptr<detail::SignalWatcher>> Signals;
};

/// Runs until stop() is called.
void run(Loop &loop);

/// Makes run() return after the current iteration.
void stop(Loop &loop);

/// Calls `callback` on the loop's thread whenever the process receives `number`.
void onSignal(Loop &loop, int number, std::function<void()> callback);

/// Reads both clocks.
Now readNow();

} // namespace chervil::net

#endif
