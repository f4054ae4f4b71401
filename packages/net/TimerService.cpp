#include "net/TimerService.h"

#include <utility>

namespace chervil::net {
namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

void fire(struct ev_loop *, ev_timer *w, int) {
  auto *entry = static_cast<detail::TimerEntry *>(w->data);
  if (entry->Repeats) {
    // Copied because the callback may cancel its own subscription.
    auto callback = entry->Callback;
    callback();
    return;
  }
  auto callback = std::move(entry->Callback);
  cancel(*entry->Service, entry->Id);
  callback();
}

TimerId add(TimerService &service, Duration first, Duration repeat,
            std::function<void()> callback) {
  auto entry = std::make_unique<detail::TimerEntry>();
  const TimerId id = service.NextId++;
  entry->Service = &service;
  entry->Id = id;
  entry->Repeats = repeat.count() > 0;
  entry->Callback = std::move(callback);
  ev_now_update(service.Raw);
  ev_timer_init(&entry->Watcher, fire, seconds(first), seconds(repeat));
  entry->Watcher.data = entry.get();
  ev_timer_start(service.Raw, &entry->Watcher);
  service.Entries.emplace(id, std::move(entry));
  return id;
}

} // namespace

TimerService::~TimerService() {
  for (auto &it : Entries)
    ev_timer_stop(Raw, &it.second->Watcher);
}

TimerId every(TimerService &service, Duration period, std::function<void()> callback) {
  return add(service, period, period, std::move(callback));
}

TimerId after(TimerService &service, Duration delay, std::function<void()> callback) {
  return add(service, delay, Duration::zero(), std::move(callback));
}

void cancel(TimerService &service, TimerId id) {
  const auto it = service.Entries.find(id);
  if (it == service.Entries.end())
    return;
  ev_timer_stop(service.Raw, &it->second->Watcher);
  service.Entries.erase(it);
}

} // namespace chervil::net
