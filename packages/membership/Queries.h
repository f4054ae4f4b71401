// Read access to the member list. Use:
//   for (const Member *it : live(state)) ...
// Returned pointers belong to the state and are valid until it is changed.
#ifndef CHERVIL_MEMBERSHIP_QUERIES_H
#define CHERVIL_MEMBERSHIP_QUERIES_H

#include "membership/State.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::membership {

/// This node.
const Member &self(const State &state);

/// The members that are alive, suspected or leaving and whose address is known, including this
/// node, sorted by name.
std::vector<const Member *> live(const State &state);

/// The member with this name in any state; null if unknown.
const Member *findByName(const State &state, std::string_view name);

/// The member with exactly this incarnation; null if it is unknown, replaced or removed.
const Member *find(const State &state, const NodeId &id);

/// True if the member is not dead and its address is known.
bool isLive(const Member &member);
/// True if a leaving deadline of the member is known, whatever its state.
bool isLeaving(const Member &member);
/// False for an unknown member.
bool isLeaving(const State &state, const NodeId &id);

/// By data centre: the two live members with the lowest names, which watch the key-value service
/// and are candidates for leases. Leaving members are chosen only if there are not enough others.
std::map<std::string, std::vector<NodeId>> watchers(const State &state);
bool isWatcher(const State &state, const NodeId &id);

/// At most `limit` members that a caller may connect to: live, neither leaving nor overloaded,
/// least loaded first in steps of 25%. Within a step the order depends on a hash of `caller`, so
/// that callers are distributed. If there are no such members, returns overloaded ones, and if
/// there are none of these, suspected ones.
std::vector<const Member *> entryList(const State &state, std::string_view caller,
                                      std::size_t limit);

/// True once the member list is complete enough to treat shard owners that are not in it as gone:
/// SettlePeers peers hold the same list or have sent all of theirs. After a pause of this process,
/// peers have to confirm the list again. A node without seeds that knows no other member is settled
/// JoinTime after its start.
bool isSettled(const State &state, const Now &now);

/// The other regions that have members that are not leaving but from which nothing was received,
/// directly or through other members, for RegionTimeout. Empty if nothing was received from any
/// region in that time, because then this node itself is cut off.
std::set<std::string> unreachableRegions(const State &state, const Now &now);

} // namespace chervil::membership

#endif
