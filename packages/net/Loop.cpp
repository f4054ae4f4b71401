#include "net/Loop.h"

#include <ctime>
#include <stdexcept>
#include <utility>

namespace chervil::net {

Loop::Loop() : Raw(ev_loop_new(EVFLAG_AUTO)) {
  if (!Raw)
    throw std::runtime_error("cannot create an event loop");
}

Loop::~Loop() {
  for (auto &it : Signals)
    ev_signal_stop(Raw.get(), &it->Watcher);
}

void run(Loop &loop) { ev_run(loop.Raw.get(), 0); }

void stop(Loop &loop) { ev_break(loop.Raw.get(), EVBREAK_ALL); }

void onSignal(Loop &loop, int number, std::function<void()> callback) {
  auto it = std::make_unique<detail::SignalWatcher>();
  it->Callback = std::move(callback);
  ev_signal_init(
      &it->Watcher,
      [](struct ev_loop *, ev_signal *w, int) {
        static_cast<detail::SignalWatcher *>(w->data)->Callback();
      },
      number);
  it->Watcher.data = it.get();
  ev_signal_start(loop.Raw.get(), &it->Watcher);
  loop.Signals.push_back(std::move(it));
}

Now readNow() {
  // Goes on while the VM is suspended, unlike steady_clock: leases and deadlines end meanwhile.
  timespec steady{};
  clock_gettime(CLOCK_BOOTTIME, &steady);
  return {
      TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(steady.tv_sec) +
                                                     std::chrono::nanoseconds(steady.tv_nsec))),
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now())};
}

} // namespace chervil::net
