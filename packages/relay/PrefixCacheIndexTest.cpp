#include "relay/PrefixCacheIndex.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::relay;

namespace {

std::vector<std::string> holders(const PrefixCacheIndex &from, std::uint64_t prefix) {
  const auto it = holdersOf(from, prefix);
  return {it.begin(), it.end()};
}

using Names = std::vector<std::string>;

} // namespace

BOOST_AUTO_TEST_SUITE(RelayPrefixCacheIndex)

// Guards against reading a prefix again because a node does not know which server caches it.
BOOST_AUTO_TEST_CASE(PeersLearnNewHolders) {
  PrefixCacheIndex a;
  PrefixCacheIndex b;
  recordHolder(a, 7, "e1");
  recordHolder(a, 7, "e2");
  mergeHolders(b, takeUnsentHolders(a));
  BOOST_TEST(holders(b, 7).size() == 2U);
  BOOST_TEST(takeUnsentHolders(a).Servers.empty());
  BOOST_TEST(takeUnsentHolders(b).Servers.empty());
  recordHolder(a, 7, "e2");
  BOOST_TEST(takeUnsentHolders(a).Servers.empty());
}

// Guards against memory use that grows with each server that reads a prefix, and against a lost
// server that hides the one that still caches it.
BOOST_AUTO_TEST_CASE(LastTwoHoldersAreKeptAndLostServersRemoved) {
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

// Guards against a full index that rejects new prefixes, and against unbounded memory use.
BOOST_AUTO_TEST_CASE(NewPrefixesReplaceOldOnesWhenFull) {
  PrefixCacheIndex a;
  for (std::uint64_t prefix = 0; prefix < MaxPrefixes + 10; ++prefix)
    recordHolder(a, prefix, "e1");
  BOOST_TEST(a.Servers.size() == MaxPrefixes);
  BOOST_TEST(holders(a, MaxPrefixes + 9).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
