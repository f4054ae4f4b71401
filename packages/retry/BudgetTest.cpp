#include "retry/Budget.h"
#include "retry/Backoff.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <queue>

using namespace chervil;
using namespace chervil::retry;
using namespace std::chrono_literals;

namespace {

Now at(Duration time) { return {TimePoint(time + 100s), WallTime{}}; }

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

// Guards against a retry storm: all back ends are down for 60 s, and every failed attempt is
// retried if the budget allows it.
BOOST_AUTO_TEST_CASE(LoadDuringOutageStaysUnder120Percent) {
  for (const int perSecond : {100, 400, 2000}) {
    Budgets budgets;
    Random rng(7);
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>> waiting;
    std::vector<double> attempts(120);
    std::vector<double> requests(120);
    std::poisson_distribution<int> arrivals(perSecond / 1000.0);
    for (Duration t = 0s; t < 120s; t += 1ms) {
      const bool down = t >= 30s && t < 90s;
      const auto second = static_cast<std::size_t>(t / 1s);
      const auto attempt = [&](const std::string &customer) {
        ++attempts[second];
        Duration last{0};
        if (down && tryAcquireRetry(budgets, customer, at(t)))
          waiting.push(t + nextDelay(last, rng));
      };
      for (int n = arrivals(rng); n > 0; --n) {
        const std::string customer = n % 2 == 0 ? "a" : "b";
        onRequest(budgets, customer, at(t));
        ++requests[second];
        attempt(customer);
      }
      while (!waiting.empty() && waiting.top() <= t) {
        waiting.pop();
        attempt("b");
      }
    }
    // Attempts per request in the worst window of 5 s that overlaps the outage.
    double worst = 0;
    for (std::size_t i = 26; i < 90; ++i) {
      double made = 0;
      double normal = 0;
      for (std::size_t k = i; k < i + 5; ++k) {
        made += attempts[k];
        normal += requests[k];
      }
      worst = std::max(worst, made / normal);
    }
    BOOST_TEST_MESSAGE(perSecond << "/s: worst window of 5 s has " << worst << " times normal");
    BOOST_TEST(worst < 1.2);
  }
}

// Guards against a customer with few requests that is never allowed to retry, and against one
// customer that uses up the retries of all.
BOOST_AUTO_TEST_CASE(MinimumIsThreePerSecondAndPerCustomer) {
  Budgets budgets;
  int retries = 0;
  for (Duration t = 0s; t < 10s; t += 10ms)
    retries += tryAcquireRetry(budgets, "a", at(t)) ? 1 : 0;
  BOOST_TEST(retries >= 30);
  BOOST_TEST(retries <= 33);
  for (int i = 0; i < 1000; ++i)
    onRequest(budgets, "b", at(20s));
  int spent = 0;
  while (tryAcquireRetry(budgets, "a", at(20s)))
    ++spent;
  BOOST_TEST(spent == 3);
  BOOST_TEST(tryAcquireRetry(budgets, "b", at(20s)));
  prune(budgets, at(1min));
  BOOST_TEST(budgets.Customers.empty());
}

BOOST_AUTO_TEST_SUITE_END()
