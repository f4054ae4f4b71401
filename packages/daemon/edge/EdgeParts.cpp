// News of which servers have read which shared parts of prompts. In a large fleet it goes through
// one node of each group.
#include "daemon/edge/EdgeDetail.h"

#include "membership/Groups.h"
#include "membership/Queries.h"

#include <algorithm>
#include <utility>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Time between two messages about shared prompt parts in a large fleet. Each is received by many.
constexpr Duration PartsPeriod = 300ms;

/// The live members by name, which all nodes number alike, and the number of one of them; their
/// count if it is unknown.
std::size_t numberOf(const std::vector<const membership::Member *> &members,
                     const std::string &name) {
  const auto it =
      std::ranges::find(members, name, [](const membership::Member *m) -> const std::string & {
        return m->Info.Id.Name;
      });
  return static_cast<std::size_t>(it - members.begin());
}

} // namespace

void forwardParts(Edge &edge, const NodeId &from, const message::CachedPromptParts &m) {
  const auto members = membership::live(edge.Members);
  const membership::Groups groups{members.size()};
  const std::size_t sender = numberOf(members, from.Name);
  const std::size_t own = numberOf(members, edge.Settings.Node.Name);
  if (sender == members.size() || membership::isSameGroup(groups, sender, own))
    return;
  edge.RelayedParts.Servers.insert(edge.RelayedParts.Servers.end(), m.Servers.begin(),
                                   m.Servers.end());
}

void shareParts(Edge &edge, const Now &now) {
  const auto members = membership::live(edge.Members);
  const membership::Groups groups{members.size()};
  if (members.size() > membership::MaxSingleGroup && now.Steady < edge.NextPartsShare)
    return;
  edge.NextPartsShare = now.Steady + PartsPeriod;
  const message::CachedPromptParts own = relay::takeUnsentHolders(edge.Relay.Servers.PrefixCache);
  const message::CachedPromptParts relayed = std::exchange(edge.RelayedParts, {});
  const std::size_t self = numberOf(members, edge.Settings.Node.Name);
  if (!own.Servers.empty())
    for (const std::size_t it : membership::firstHop(groups, self))
      net::send(*edge.Peers, members[it]->Info.PeerAddress, own);
  if (!relayed.Servers.empty())
    for (const std::size_t it : membership::groupMates(groups, self))
      net::send(*edge.Peers, members[it]->Info.PeerAddress, relayed);
}

} // namespace chervil::daemon::detail
