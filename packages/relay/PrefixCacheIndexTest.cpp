#include "relay/PrefixCacheIndex.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::relay;

namespace {

std::vector<std::string> holders(const PrefixCacheIndex &from, std::uint64_t part) {
  const auto it = holdersOf(from, part);
  return {it.begin(), it.end()};
}

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPrefixCacheIndex)

// Guards against nodes that let a part be read again because they do not know who holds it.
BOOST_AUTO_TEST_CASE(OtherNodesLearnWhatWasRead) {
  PrefixCacheIndex a;
  PrefixCacheIndex b;
  recordHolder(a, 7, "e1");
  recordHolder(a, 7, "e2");
  mergeHeldParts(b, takeUnsentHolders(a));
  BOOST_TEST(holders(b, 7).size() == 2U);
  BOOST_TEST(takeUnsentHolders(a).Servers.empty());
  BOOST_TEST(takeUnsentHolders(b).Servers.empty());
  recordHolder(a, 7, "e2");
  BOOST_TEST(takeUnsentHolders(a).Servers.empty());
}

// Guards against memory that grows with each server that reads a part, and against a lost server
// that hides the one which still holds it.
BOOST_AUTO_TEST_CASE(LastTwoAreKeptAndTheLostForgotten) {
  PrefixCacheIndex a;
  for (const char *it : {"e1", "e2", "e3"})
    recordHolder(a, 7, it);
  BOOST_TEST((holders(a, 7) == Names{"e3", "e2"}));
  recordHolder(a, 7, "e2");
  BOOST_TEST((holders(a, 7) == Names{"e2", "e3"}));
  removeServer(a, "e2");
  BOOST_TEST((holders(a, 7) == Names{"e3"}));
  removeServer(a, "e3");
  BOOST_TEST(holders(a, 7).empty());
  BOOST_TEST(a.Servers.empty());
}

// Guards against a node that remembers only the first parts it saw, and against unbounded memory.
BOOST_AUTO_TEST_CASE(NewPartsReplaceOldOnesWhenFull) {
  PrefixCacheIndex a;
  for (std::uint64_t part = 0; part < MaxPrefixes + 10; ++part)
    recordHolder(a, part, "e1");
  BOOST_TEST(a.Servers.size() == MaxPrefixes);
  BOOST_TEST(holders(a, MaxPrefixes + 9).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
