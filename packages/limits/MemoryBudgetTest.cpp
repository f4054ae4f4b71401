#include "limits/MemoryBudget.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace chervil;
using namespace chervil::limits;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t MB = 1'000'000;

Now at(Duration d) { return {.Steady = TimePoint{} + d, .Wall = {}}; }

MemoryHolder request(std::uint64_t bytes, Duration started, Duration progress) {
  return {bytes, TimePoint{} + started, TimePoint{} + progress, false};
}

MemoryHolder response(std::uint64_t bytes, Duration progress) {
  return {bytes, TimePoint{}, TimePoint{} + progress, true};
}

MemoryBudget full() {
  MemoryBudget budget = makeMemoryBudget(100 * MB);
  adjust(budget, MemoryUse::Requests, 0, budget.LargeCeiling + 1);
  return budget;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MemoryBudgets)

// Guards against large bodies that take the memory which ordinary requests need.
BOOST_AUTO_TEST_CASE(SmallRequestsHaveAReservedPart) {
  MemoryBudget budget = makeMemoryBudget(100 * MB);
  BOOST_TEST(budget.Ceiling == 60 * MB);
  BOOST_TEST(budget.LargeCeiling == 51 * MB);
  adjust(budget, MemoryUse::Requests, 0, 48 * MB);
  BOOST_TEST(hasRoom(budget, 3 * MB));
  BOOST_TEST(!hasRoom(budget, 4 * MB));
  adjust(budget, MemoryUse::Responses, 0, 4 * MB);
  BOOST_TEST(!hasRoom(budget, SmallBytes + 1));
  BOOST_TEST(hasRoom(budget, SmallBytes));
  BOOST_TEST(excessBytes(budget) == MB);
  adjust(budget, MemoryUse::Requests, 48 * MB, 0);
  BOOST_TEST(heldBytes(budget) == 4 * MB);
  BOOST_TEST(excessBytes(budget) == 0U);
}

// Guards against clients that hold memory without sending while others that send are evicted.
BOOST_AUTO_TEST_CASE(TheLongestStalledGoesFirst) {
  const MemoryBudget budget = full();
  const std::vector<MemoryHolder> holders{request(MB, 0ms, 2900ms), request(MB, 0ms, 1500ms),
                                          request(MB, 0ms, 1000ms), request(MB, 2900ms, 3000ms)};
  BOOST_TEST((chooseEviction(budget, holders, at(3s)) == 2U));
}

// Guards against uploads that are all evicted in turn, so that none of them ends.
BOOST_AUTO_TEST_CASE(AmongActiveRequestsTheLatestGoesFirst) {
  const MemoryBudget budget = full();
  const std::vector<MemoryHolder> holders{request(MB, 100ms, 2900ms), request(MB, 300ms, 2900ms),
                                          request(MB, 200ms, 2900ms)};
  BOOST_TEST((chooseEviction(budget, holders, at(3s)) == 1U));
}

// Guards against the loss of a response that its client takes, however slowly.
BOOST_AUTO_TEST_CASE(ResponsesGoOnlyWhenStalled) {
  const MemoryBudget budget = full();
  BOOST_TEST(!chooseEviction(budget, std::vector{response(MB, 1s)}, at(3s)));
  BOOST_TEST((chooseEviction(budget, std::vector{response(MB, 1s)}, at(4s)) == 0U));
}

// Guards against ordinary requests that are evicted for large ones.
BOOST_AUTO_TEST_CASE(SmallHoldersGoOnlyAboveTheCeiling) {
  MemoryBudget budget = full();
  const std::vector<MemoryHolder> holders{request(SmallBytes, 0ms, 0ms)};
  BOOST_TEST(!chooseEviction(budget, holders, at(9s)));
  adjust(budget, MemoryUse::Requests, 0, budget.Ceiling);
  BOOST_TEST((chooseEviction(budget, holders, at(9s)) == 0U));
}

BOOST_AUTO_TEST_SUITE_END()
