// Divides the nodes of a large fleet into groups, so that news reaches all nodes in two steps and
// each node sends and receives about 4 * sqrt(n) messages a round instead of n. Use:
//   const Groups groups{names.size()};
//   for (std::size_t it : firstHop(groups, self)) send(names[it], news);
//   if (!isSameGroup(groups, from, self))            // on arrival
//     for (std::size_t it : groupMates(groups, self)) forward(names[it], news);
// Nodes are numbered in an order that all nodes agree on. Where two nodes disagree about the
// members for a moment, a piece of news may miss a node or reach it twice.
#ifndef CHERVIL_MEMBERSHIP_GROUPS_H
#define CHERVIL_MEMBERSHIP_GROUPS_H

#include <cstddef>
#include <vector>

namespace chervil::membership {

struct Groups {
  std::size_t Nodes = 0;
};

/// Fleets up to this size are one group: each node sends to all others.
inline constexpr std::size_t MaxSingleGroup = 32;

/// Number of nodes in a group; the last group may be smaller.
std::size_t groupSize(const Groups &groups);

bool isSameGroup(const Groups &groups, std::size_t a, std::size_t b);

/// The other nodes of the node's group.
std::vector<std::size_t> groupMates(const Groups &groups, std::size_t node);

/// The nodes to which a node sends its own news: its group, and one node of each other group, which
/// forwards it. Different nodes of a group use different nodes of the others.
std::vector<std::size_t> firstHop(const Groups &groups, std::size_t node);

} // namespace chervil::membership

#endif
