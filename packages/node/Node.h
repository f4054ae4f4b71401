// The logic of one node, as a state machine: events in, effects out. Use:
//   State state = makeState(self, seeds, parts, now);
//   for (const Effect &it : handleEvent(state, Event(Tick{}), now, rng)) carryOut(it);
// Pure: uses no socket, clock, thread or log. Not thread-safe; a process may have many states.
#ifndef CHERVIL_NODE_NODE_H
#define CHERVIL_NODE_NODE_H

#include "base/Random.h"
#include "node/Effect.h"
#include "node/Event.h"
#include "node/State.h"

#include <vector>

namespace chervil::node {

/// Options of the node and of the packages on which it is built.
struct ComponentOptions {
  Options Node;
  membership::Options Membership;
  record::Options Record;
  routing::Options Routing;
};

/// Returns the state of a node that has just started. `self` gives its identity, addresses and data
/// centre; `seeds` are the peer addresses of members to contact first.
State makeState(message::MemberUpdate self, std::vector<std::string> seeds,
                const ComponentOptions &options, const Now &now);

/// Handles one event and returns the effects, which the caller must carry out in order.
std::vector<Effect> handleEvent(State &state, const Event &event, const Now &now, Random &rng);

/// Returns true once the node has a shard map, contracts and at least one back end.
bool isReady(const State &state);

/// Returns addresses for callers, best first. `caller` is hashed to distribute callers over the
/// nodes.
std::vector<std::string> entryAddresses(const State &state, std::string_view caller);

} // namespace chervil::node

#endif
