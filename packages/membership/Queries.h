// Read access to the member list. Use:
//   for (const Member *it : live(state)) ...
// Returned pointers are valid until the state is changed.
#ifndef CHERVIL_MEMBERSHIP_QUERIES_H
#define CHERVIL_MEMBERSHIP_QUERIES_H

#include "membership/State.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace chervil::membership {

const Member &self(const State &state);

/// Alive, suspected or leaving with a known address; this node included; in order of name.
std::vector<const Member *> live(const State &state);

/// The member with this name in any state; null when unknown.
const Member *findByName(const State &state, std::string_view name);

/// Null when the incarnation is unknown, replaced or forgotten.
const Member *find(const State &state, const NodeId &id);

bool isLive(const Member &member);
bool isLeaving(const Member &member);
/// False for an unknown member.
bool isLeaving(const State &state, const NodeId &id);

/// Per data centre, the two live members with the lowest names, which watch the key-value service
/// and are candidates for leases. Leaving members are chosen only when there are no others.
std::map<std::string, std::vector<NodeId>> watchers(const State &state);
bool isWatcher(const State &state, const NodeId &id);

/// Members a caller may connect to: live, neither leaving nor overloaded, least loaded first in
/// steps of 25%. Within a step the order depends on `caller`, so that callers spread. Falls back to
/// overloaded or suspected members, in this order, when there are no others.
std::vector<const Member *> entryList(const State &state, std::string_view caller,
                                      std::size_t limit);

/// True once the member list can be taken as complete enough to declare absent owners dead: several
/// peers hold the same list or have sent all of theirs. After a pause of this process new evidence
/// is needed. A node without seeds that no peer has contacted is settled after the join time.
bool isSettled(const State &state, const Now &now);

/// Regions other than this node's own, with members that were not leaving, none of which has been
/// heard directly or through others for RegionTimeout, while this node heard some other member.
std::set<std::string> unreachableRegions(const State &state, const Now &now);

} // namespace chervil::membership

#endif
