#include "membership/Groups.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace chervil::membership;

BOOST_AUTO_TEST_SUITE(MembershipGroups)

// Guards against news that misses a node, reaches one twice, or costs each node a message per node.
BOOST_AUTO_TEST_CASE(NewsReachesAllNodesOnce) {
  BOOST_TEST(rc::check([] {
    const Groups groups{*rc::gen::inRange<std::size_t>(1, 1200)};
    const std::size_t from = *rc::gen::inRange<std::size_t>(0, groups.Nodes);
    std::vector<unsigned> heard(groups.Nodes, 0);
    for (const std::size_t it : firstHop(groups, from)) {
      RC_ASSERT(it < groups.Nodes);
      ++heard[it];
      if (isSameGroup(groups, from, it))
        continue;
      for (const std::size_t mate : groupMates(groups, it))
        ++heard[mate];
    }
    for (std::size_t i = 0; i < groups.Nodes; ++i)
      RC_ASSERT(heard[i] == (i == from ? 0U : 1U));
    if (groups.Nodes > MaxSingleGroup)
      RC_ASSERT(firstHop(groups, from).size() <= 2 * groupSize(groups));
  }));
}

// Guards against one node that forwards for all the others.
BOOST_AUTO_TEST_CASE(ForwardingIsSpread) {
  const Groups groups{295};
  std::vector<unsigned> received(groups.Nodes, 0);
  for (std::size_t from = 0; from < groups.Nodes; ++from)
    for (const std::size_t it : firstHop(groups, from))
      received[it] += isSameGroup(groups, from, it) ? 0 : 1;
  for (const unsigned it : received)
    BOOST_TEST(it <= 3 * groupSize(groups));
}

BOOST_AUTO_TEST_SUITE_END()
