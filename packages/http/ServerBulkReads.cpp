// Reading of large requests, and of what is thrown away after a refusal, behind all other work.
// Clients outside the limits could otherwise use the whole processor of a small VM by sending.
#include "http/ServerDetail.h"

#include <algorithm>
#include <ctime>

namespace chervil::http::detail {
namespace {

// Bytes of a request, with its framing, that are read like those of any other. The longest prompt
// of a model request has 100,000.
constexpr std::uint64_t BulkBytes = 128 * 1024;

/// Processor time that this thread has used.
Duration processorTime() {
  timespec it{};
  (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &it);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(it.tv_sec) +
                                              std::chrono::nanoseconds(it.tv_nsec));
}

void stopIfEmpty(Server &server) {
  if (!server.BulkReads.empty())
    return;
  ev_idle_stop(server.Loop->Raw.get(), &server.BulkIdle);
  ev_check_stop(server.Loop->Raw.get(), &server.BulkCheck);
}

/// Reads once from the connection that has waited longest.
void readNext(Server &server) {
  if (server.BulkReads.empty())
    return;
  const Duration begin = processorTime();
  Connection &c = *server.BulkReads.front();
  server.BulkReads.pop_front();
  c.BulkQueued = false;
  ev_io_start(server.Loop->Raw.get(), &c.ReadWatcher);
  onReadable(c);
  limits::noteWork(server.BulkShare, begin, processorTime());
  stopIfEmpty(server);
}

} // namespace

void initBulkReads(Server &server) {
  ev_idle_init(&server.BulkIdle, [](struct ev_loop *, ev_idle *w, int) {
    readNext(*static_cast<Server *>(w->data));
  });
  ev_check_init(&server.BulkCheck, [](struct ev_loop *, ev_check *w, int) {
    auto &owner = *static_cast<Server *>(w->data);
    if (limits::mayWork(owner.BulkShare, processorTime()))
      readNext(owner);
  });
  server.BulkIdle.data = server.BulkCheck.data = &server;
}

void onReadEvent(Connection &c) {
  const bool isBulk =
      c.State == Phase::Lingering || (c.State == Phase::Reading && c.RequestWireBytes > BulkBytes);
  if (!isBulk) {
    onReadable(c);
    return;
  }
  Server &server = *c.Owner;
  ev_io_stop(server.Loop->Raw.get(), &c.ReadWatcher);
  if (c.BulkQueued)
    return;
  c.BulkQueued = true;
  server.BulkReads.push_back(&c);
  ev_idle_start(server.Loop->Raw.get(), &server.BulkIdle);
  ev_check_start(server.Loop->Raw.get(), &server.BulkCheck);
}

void forgetBulkRead(Connection &c) {
  if (!c.BulkQueued)
    return;
  std::erase(c.Owner->BulkReads, &c);
  stopIfEmpty(*c.Owner);
}

} // namespace chervil::http::detail
