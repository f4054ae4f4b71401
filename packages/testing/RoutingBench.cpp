// Prints the time of one decision and the size of the state by number of engines.
// Usage: routing_bench
#include "routing/Routing.h"

#include <chrono>
#include <cstdio>

using namespace chervil;
using namespace chervil::routing;
using namespace std::chrono_literals;

namespace {

constexpr int Decisions = 200000;
constexpr int Blocks = 20;
/// Requests in progress on one node and documents whose prefixes are in its map.
constexpr std::uint64_t Streams = 800;
constexpr std::uint64_t Documents = 2000;

Now at(Duration t) { return {TimePoint(t + 100s), WallTime(1764800000000ms)}; }

WorkRequest makeWork(std::uint64_t document) {
  WorkRequest w;
  w.Customer = "c" + std::to_string(document % 5);
  w.Kind = "briefing";
  w.Target = "redactor";
  w.PromptTokens = 1400;
  for (std::uint64_t block = 0; block < Blocks; ++block)
    w.PrefixHashes.push_back((document + 1) * 0x9e3779b97f4a7c15ULL + block);
  return w;
}

void measure(std::uint32_t engines) {
  Random rng(engines);
  Options o;
  o.Node = "n1";
  State s = makeState(o);
  std::vector<Backend> list(engines);
  for (std::uint32_t i = 0; i < engines; ++i) {
    list[i].Name = "engine-" + std::to_string(i);
    list[i].Address = "127.0.0.1:" + std::to_string(10000 + i);
    list[i].Targets = {"redactor"};
  }
  const auto listStart = std::chrono::steady_clock::now();
  updateBackends(s, list, at(0s));
  const double listTime =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - listStart).count();
  std::vector<WorkRequest> works;
  for (std::uint64_t d = 0; d < Documents; ++d)
    works.push_back(makeWork(d));
  for (std::uint64_t id = 0; id < Streams; ++id) {
    const WorkRequest &w = works[rng() % Documents];
    if (const auto c = choose(s, w, at(0s), rng))
      requestStarted(s, id, w, c->Backend, at(0s));
  }
  const auto start = std::chrono::steady_clock::now();
  std::size_t chosen = 0;
  for (int i = 0; i < Decisions; ++i)
    chosen += choose(s, works[rng() % Documents], at(1s), rng).has_value() ? 1U : 0U;
  const double total =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  std::printf("%5u engines: %.2f us per decision, %zu KB of state, new list %.2f ms (%zu chosen)\n",
              engines, total / Decisions * 1e6, stateBytes(s) / 1024, listTime * 1e3, chosen);
}

} // namespace

int main() {
  for (const std::uint32_t engines : {22U, 100U, 1000U, 7200U})
    measure(engines);
}
