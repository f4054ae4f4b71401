// Prints the cost of the membership protocol for one node by size of a fleet in steady state.
// Usage: membership_bench
#include "testing/MembershipFleet.h"

#include <cstdio>

using namespace chervil;
using namespace chervil::testing;

namespace {

std::size_t heapOf(const std::string &s) {
  constexpr std::size_t inlineCapacity = 15;
  return s.capacity() > inlineCapacity ? s.capacity() + 1 : 0;
}

/// Members with their map nodes and strings; queues are empty in steady state.
std::size_t stateBytes(const membership::State &state) {
  constexpr std::size_t nodeHeader = 32;
  std::size_t bytes = sizeof(state);
  for (const auto &[name, it] : state.Members)
    bytes += nodeHeader + sizeof(std::string) + sizeof(it) + heapOf(name) +
             heapOf(it.Info.Id.Name) + heapOf(it.Info.Region) + heapOf(it.Info.DataCentre) +
             heapOf(it.Info.PeerAddress) + heapOf(it.Info.CallerAddress);
  return bytes;
}

void measure(std::size_t nodes) {
  constexpr std::size_t node = 7;
  constexpr auto seconds = 60s;
  MembershipFleet fleet(nodes);
  fleet.settle(60s);
  fleet.run(60s);
  for (SimNode &it : fleet.Nodes)
    it.BytesSent = 0;
  fleet.TimedNode = node;
  fleet.run(seconds);
  std::size_t most = 0;
  std::size_t total = 0;
  for (const SimNode &it : fleet.Nodes) {
    most = std::max(most, it.BytesSent);
    total += it.BytesSent;
  }
  const double us = std::chrono::duration<double, std::micro>(fleet.Spent).count() / 60;
  std::printf("%4zu nodes: %6.1f us per s (%.4f%% of a core), sent mean %zu B/s, most %zu B/s, "
              "%zu KB of state\n",
              nodes, us, us / 1e4, total / nodes / 60, most / 60,
              stateBytes(fleet.Nodes[node].Membership) / 1024);
}

} // namespace

int main() {
  for (const std::size_t nodes : {20U, 80U, 160U, 320U})
    measure(nodes);
}
