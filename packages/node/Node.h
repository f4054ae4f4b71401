// All decisions of one node. Use:
//   State state = makeState(self, seeds, parts, now);
//   for (const Effect &it : handle(state, Event(Tick{}), now, rng)) carryOut(it);
// Pure: no socket, clock, thread or log. One thread; many states may live in one process.
#ifndef CHERVIL_NODE_NODE_H
#define CHERVIL_NODE_NODE_H

#include "base/Random.h"
#include "node/Effect.h"
#include "node/Event.h"
#include "node/State.h"

#include <vector>

namespace chervil::node {

/// Options of the packages below.
struct ComponentOptions {
  Options Node;
  membership::Options Membership;
  record::Options Record;
  routing::Options Routing;
};

/// State of a node that has just started. `self` names its addresses and data centre.
State makeState(message::MemberUpdate self, std::vector<std::string> seeds,
                const ComponentOptions &options, const Now &now);

/// Handles one event and returns what must be done, in order.
std::vector<Effect> handleEvent(State &state, const Event &event, const Now &now, Random &rng);

/// True once the node has a shard map, contracts and at least one back end.
bool isReady(const State &state);

/// Addresses for callers, best first; `caller` spreads callers over nodes.
std::vector<std::string> entryAddresses(const State &state, std::string_view caller);

} // namespace chervil::node

#endif
