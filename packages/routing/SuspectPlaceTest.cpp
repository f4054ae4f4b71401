#include "routing/SuspectPlace.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace chervil;
using namespace chervil::routing;
using namespace std::chrono_literals;

namespace {

/// A suspect with all smaller contents of `all` ahead of it.
Suspicion suspect(std::uint64_t content, const std::vector<std::uint64_t> &all) {
  Suspicion s{content, TimePoint(10s), {}};
  std::ranges::copy_if(all, std::back_inserter(s.Ahead), [&](auto it) { return it < content; });
  return s;
}

} // namespace

BOOST_AUTO_TEST_SUITE(SuspectPlaces)

// Guards against two suspects of different nodes on one back end at a time: a harmless one would
// fail a second time because of the other and be quarantined.
BOOST_AUTO_TEST_CASE(SuspectsRunOnSeparateBackends) {
  const std::vector<std::uint64_t> backends = {101, 102, 103, 104, 105};
  const std::vector<std::uint64_t> contents = {11, 12, 13, 14, 15, 16, 17};
  std::map<std::pair<std::size_t, std::size_t>, int> places;
  for (const std::uint64_t it : contents) {
    const SuspectPlace place = placeOfSuspect(suspect(it, contents), backends);
    BOOST_TEST(place.Backend < backends.size());
    ++places[{place.Backend, place.Turn}];
  }
  BOOST_TEST(places.size() == contents.size());
  BOOST_TEST(std::ranges::count_if(places, [](const auto &it) { return it.first.second == 1; }) ==
             2);
}

// Guards against nodes that compute different assignments because their lists of back ends are
// ordered differently.
BOOST_AUTO_TEST_CASE(OrderOfTheListDoesNotMatter) {
  const std::vector<std::uint64_t> contents = {11, 12, 13, 14};
  const std::vector<std::uint64_t> one = {101, 102, 103, 104, 105};
  const std::vector<std::uint64_t> other = {104, 101, 105, 103, 102};
  for (const std::uint64_t it : contents)
    BOOST_TEST(one[placeOfSuspect(suspect(it, contents), one).Backend] ==
               other[placeOfSuspect(suspect(it, contents), other).Backend]);
}

// Guards against a suspect that runs before all nodes know of it, or in the turn of another one.
BOOST_AUTO_TEST_CASE(SuspectsStartInTheirTurn) {
  const Suspicion s = suspect(1, {});
  BOOST_TEST((startOfSuspect(s, {0, 0}) == TimePoint(10s) + SuspectPropagationTime));
  BOOST_TEST(
      (startOfSuspect(s, {0, 2}) == TimePoint(10s) + SuspectPropagationTime + 2 * SuspectTurnTime));
}

BOOST_AUTO_TEST_SUITE_END()
