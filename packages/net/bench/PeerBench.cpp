// Measures the peer transport with small messages between two transports of one process.
// Usage: peer_bench [MESSAGES] [PER_ITERATION]
#include "net/PeerTransport.h"
#include "net/TimerService.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace chervil;
using namespace std::chrono_literals;

namespace {

double cpuSeconds() {
  timespec it{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &it);
  return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_nsec) / 1e9;
}

struct Bench {
  net::Loop EventLoop;
  net::TimerService Timers{EventLoop};
  net::PeerTransportPtr A;
  net::PeerTransportPtr B;
  long Total = 0;
  long Batch = 0;
  long Sent = 0;
  long Received = 0;

  void sendBatch() {
    for (long i = 0; i < Batch && Sent < Total; ++i, ++Sent)
      send(*A, peerAddress(*B),
           message::Progress{.Key = {"acme", "0190a1b2-c3d4-7e5f-8a9b-0c1d2e3f4a5b"},
                             .Run = 1,
                             .Offset = 4096,
                             .Bytes = "data: token\n\n",
                             .Tokens = 10});
  }
};

} // namespace

int main(int argc, char **argv) {
  Bench b;
  b.Total = argc > 1 ? std::atol(argv[1]) : 1'000'000;
  b.Batch = argc > 2 ? std::atol(argv[2]) : 100;
  const auto make = [&](const char *name, net::PeerCallbacks callbacks) {
    return std::move(*net::startPeerTransport(
        b.EventLoop, {.Self = {name, 1}, .DataCentre = "dc", .Secret = "benchmark"},
        std::move(callbacks)));
  };
  b.A = make("a", {});
  b.B = make("b", {.OnMessage = [&](const NodeId &, const std::string &, message::Message &&) {
               if (++b.Received == b.Total)
                 stop(b.EventLoop);
               else if (b.Received == b.Sent)
                 b.sendBatch();
             }});
  const auto wall = std::chrono::steady_clock::now();
  const double cpu = cpuSeconds();
  b.sendBatch();
  run(b.EventLoop);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - wall).count();
  const double used = cpuSeconds() - cpu;
  const auto &sent = counters(*b.A);
  std::printf("%ld messages, %ld per batch: %.0f messages/s, %.2f us CPU per message (both sides), "
              "%.1f messages per write, %.1f bytes each\n",
              b.Total, b.Batch, static_cast<double>(b.Total) / seconds,
              used / static_cast<double>(b.Total) * 1e6,
              static_cast<double>(b.Total) / static_cast<double>(sent.Writes),
              static_cast<double>(sent.BytesSent) / static_cast<double>(b.Total));
  return 0;
}
