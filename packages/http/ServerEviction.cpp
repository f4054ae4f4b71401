// Closing of connections that hold memory beyond the budget.
#include "http/ServerDetail.h"

#include <optional>
#include <vector>

namespace chervil::http::detail {
namespace {

/// What the connection holds for a request that is being read or a response that waits; empty if
/// it is not to be evicted.
std::optional<limits::MemoryHolder> evictable(const Connection &c) {
  if (c.State == Phase::Reading)
    // A client whose bytes wait here has not stalled.
    return limits::MemoryHolder{c.ChargedRequest, c.Started, c.BulkQueued ? now() : c.Since, false};
  if (c.State == Phase::Serving && hasOutput(c))
    return limits::MemoryHolder{c.ChargedRequest + c.ChargedResponse, c.Started, c.Wrote, true};
  return std::nullopt;
}

/// The connections that may be evicted, with what they hold, by the same index.
struct Candidates {
  std::vector<Connection *> Connections;
  std::vector<limits::MemoryHolder> Holders;
};

Candidates listCandidates(const Server &server) {
  Candidates out;
  for (const auto &[c, owner] : server.Connections)
    if (const auto it = evictable(*c)) {
      out.Connections.push_back(c);
      out.Holders.push_back(*it);
    }
  return out;
}

/// The order does not matter.
void remove(Candidates &from, std::size_t at) {
  from.Connections[at] = from.Connections.back();
  from.Connections.pop_back();
  from.Holders[at] = from.Holders.back();
  from.Holders.pop_back();
}

void evictOne(Connection &c, bool isResponse) {
  if (isResponse) {
    noteShed(c, Shed::Stalled);
    drop(c);
    return;
  }
  const bool stalled = !c.BulkQueued && now() - c.Since >= limits::StalledRequestTime;
  rejectForMemory(c, stalled ? Shed::Stalled : Shed::NoMemory);
}

} // namespace

void evict(Server &server) {
  const limits::MemoryBudget *memory = server.Options.Memory;
  if (memory == nullptr || limits::excessBytes(*memory) == 0)
    return;
  Candidates candidates = listCandidates(server);
  while (limits::excessBytes(*memory) > 0) {
    const auto chosen = limits::chooseEviction(*memory, candidates.Holders, net::readNow());
    if (!chosen)
      return;
    Connection *c = candidates.Connections[*chosen];
    const bool wasResponse = candidates.Holders[*chosen].IsResponse;
    remove(candidates, *chosen);
    // The events of an earlier eviction may have closed the connection or answered its request.
    const auto held = server.Connections.contains(c) ? evictable(*c) : std::nullopt;
    if (held && held->IsResponse == wasResponse)
      evictOne(*c, wasResponse);
  }
}

} // namespace chervil::http::detail
