#include "relay/PartHolders.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::relay;

namespace {

std::vector<std::string> holders(const PartHolders &from, std::uint64_t part) {
  const auto it = holdersOf(from, part);
  return {it.begin(), it.end()};
}

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPartHolders)

// Guards against nodes that let a part be read again because they do not know who holds it.
BOOST_AUTO_TEST_CASE(OtherNodesLearnWhatWasRead) {
  PartHolders a;
  PartHolders b;
  noteHolder(a, 7, "e1");
  noteHolder(a, 7, "e2");
  applyNews(b, takeNews(a));
  BOOST_TEST(holders(b, 7).size() == 2U);
  BOOST_TEST(takeNews(a).Servers.empty());
  BOOST_TEST(takeNews(b).Servers.empty());
  noteHolder(a, 7, "e2");
  BOOST_TEST(takeNews(a).Servers.empty());
}

// Guards against memory that grows with each server that reads a part, and against a lost server
// that hides the one which still holds it.
BOOST_AUTO_TEST_CASE(LastTwoAreKeptAndTheLostForgotten) {
  PartHolders a;
  for (const char *it : {"e1", "e2", "e3"})
    noteHolder(a, 7, it);
  BOOST_TEST((holders(a, 7) == Names{"e3", "e2"}));
  noteHolder(a, 7, "e2");
  BOOST_TEST((holders(a, 7) == Names{"e2", "e3"}));
  forgetServer(a, "e2");
  BOOST_TEST((holders(a, 7) == Names{"e3"}));
  forgetServer(a, "e3");
  BOOST_TEST(holders(a, 7).empty());
  BOOST_TEST(a.Servers.empty());
}

// Guards against a node that remembers only the first parts it saw, and against unbounded memory.
BOOST_AUTO_TEST_CASE(NewPartsReplaceOldOnesWhenFull) {
  PartHolders a;
  for (std::uint64_t part = 0; part < MaxParts + 10; ++part)
    noteHolder(a, part, "e1");
  BOOST_TEST(a.Servers.size() == MaxParts);
  BOOST_TEST(holders(a, MaxParts + 9).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
