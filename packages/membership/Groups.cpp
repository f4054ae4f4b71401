#include "membership/Groups.h"

#include <algorithm>
#include <cmath>

namespace chervil::membership {

std::size_t groupSize(const Groups &groups) {
  if (groups.Nodes <= MaxSingleGroup)
    return std::max<std::size_t>(1, groups.Nodes);
  return static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(groups.Nodes))));
}

bool isSameGroup(const Groups &groups, std::size_t a, std::size_t b) {
  return a / groupSize(groups) == b / groupSize(groups);
}

std::vector<std::size_t> groupMates(const Groups &groups, std::size_t node) {
  const std::size_t size = groupSize(groups);
  const std::size_t first = node / size * size;
  std::vector<std::size_t> out;
  for (std::size_t i = first; i < std::min(first + size, groups.Nodes); ++i)
    if (i != node)
      out.push_back(i);
  return out;
}

std::vector<std::size_t> firstHop(const Groups &groups, std::size_t node) {
  const std::size_t size = groupSize(groups);
  std::vector<std::size_t> out = groupMates(groups, node);
  for (std::size_t first = 0; first < groups.Nodes; first += size)
    if (first != node / size * size)
      out.push_back(first + node % std::min(size, groups.Nodes - first));
  return out;
}

} // namespace chervil::membership
