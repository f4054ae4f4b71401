#include "relay/Configuration.h"
#include "relay/RetryShare.h"

#include <boost/test/unit_test.hpp>

using namespace chervil;
using namespace chervil::relay;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(RelayConfiguration)

// Guards against choosing the shorter of two matching prefixes, and against routes of other hosts.
BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  Configuration c;
  for (const auto &[host, prefix] : std::initializer_list<std::pair<const char *, const char *>>{
           {"a", "/x/"}, {"a", "/x/y/"}, {"b", "/x/y/z/"}}) {
    Route route;
    route.Name = std::string(host) + prefix;
    route.Host = host;
    route.PathPrefix = prefix;
    c.Routes.push_back(route);
  }
  c = buildIndexes(std::move(c));
  BOOST_TEST(findRoute(c, "A:80", "/x/y/z/1")->Name == "a/x/y/");
  BOOST_TEST(findRoute(c, "a", "/x/1")->Name == "a/x/");
  BOOST_TEST((findRoute(c, "a", "/x") == nullptr));
  BOOST_TEST((findRoute(c, "c", "/x/1") == nullptr));
}

// Guards against exceeding the retry budget over all nodes together.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheShare) {
  const Options options{.RetryRatio = 0.2, .RetrySlack = 50};
  constexpr std::size_t nodes = 9;
  std::size_t retries = 0;
  Now now{TimePoint(1000s), WallTime(0s)};
  std::vector<RetryShare> shares(nodes);
  for (int i = 0; i < 100; ++i)
    for (RetryShare &it : shares) {
      now.Steady += 10ms;
      onFirstSend(it, now, options.RetryWindow);
      retries += tryAcquireRetry(it, options, nodes, now) ? 1 : 0;
    }
  BOOST_TEST(retries <= 0.2 * 900 + 50);
  BOOST_TEST(retries >= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
