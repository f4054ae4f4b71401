#include "balance/Choose.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chervil;
using namespace chervil::balance;
using namespace std::chrono_literals;

namespace {

std::vector<unsigned> countChoices(const std::vector<Candidate> &from, const Outlook &outlook) {
  std::vector<unsigned> counts(from.size());
  Random rng(1);
  for (int i = 0; i < 10'000; ++i)
    ++counts[chooseCandidate(from, outlook, rng)];
  return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BalanceChoose)

// Guards against a single node, or a fleet without traffic, that chooses other than the best.
BOOST_AUTO_TEST_CASE(WithoutOtherNodesTheLowestSumIsChosen) {
  const std::vector<Candidate> from = {{500, 100}, {300, 200}, {450, 0, 1, true}, {300, 150}};
  BOOST_TEST(countChoices(from, makeOutlook(300ms, 50, 0))[2] == 10'000U);
  const std::vector<Candidate> equal = {{100, 0}, {100, 0}};
  BOOST_TEST(countChoices(equal, {})[0] == 10'000U);
}

// Guards against nodes with the same reports that all choose the same server.
BOOST_AUTO_TEST_CASE(ChoicesAreInProportionToSpareCapacity) {
  // The level is 4000: rooms of 4000, 2000, 0 and, at half the speed, 2000 tokens.
  const std::vector<Candidate> from = {{0, 0}, {2000, 0}, {9000, 0}, {0, 0, 2}};
  BOOST_TEST(fillLevel(from, 8000) == 4000, boost::test_tools::tolerance(1e-9));
  const auto counts = countChoices(from, {10'000, 8000});
  BOOST_TEST(double(counts[0]) == 5000, boost::test_tools::tolerance(0.05));
  BOOST_TEST(double(counts[1]) == 2500, boost::test_tools::tolerance(0.05));
  BOOST_TEST(counts[2] == 0U);
  BOOST_TEST(double(counts[3]) == 2500, boost::test_tools::tolerance(0.05));
}

// Guards against a prefix that is given up for evenness, and against a home that all nodes leave
// together.
BOOST_AUTO_TEST_CASE(HomesAreLeftGradually) {
  std::vector<Candidate> from = {{0, 0, 1, true}, {0, 7000}, {0, 7000}};
  BOOST_TEST(countChoices(from, {5000, 5000})[0] == 10'000U);
  from[0].Wait = 7000;
  const unsigned kept = countChoices(from, {5000, 5000})[0];
  BOOST_TEST(kept > 4000U);
  BOOST_TEST(kept < 6000U);
  from[0].Wait = 20'000;
  BOOST_TEST(countChoices(from, {5000, 5000})[0] == 0U);
}

// Guards against homes that differ from those of a node alone.
BOOST_AUTO_TEST_CASE(SecondAndThirdHomeOnlyBesideOtherNodes) {
  BOOST_TEST(homeDiscount(0, {}) == homeDiscount(0, {1, 1}));
  BOOST_TEST(homeDiscount(1, {}) == 0);
  BOOST_TEST(homeDiscount(1, {1, 1}) > homeDiscount(2, {1, 1}));
  BOOST_TEST(homeDiscount(HomesPerPrefix, {1, 1}) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
