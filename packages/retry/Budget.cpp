#include "retry/Budget.h"

#include <algorithm>
#include <cmath>

namespace chervil::retry {
namespace {

using Seconds = std::chrono::duration<double>;

// Decays the earned retries and refills the minimum for the time since the last call. Time that
// goes backwards is ignored.
void refill(Budget &budget, TimePoint now) {
  const Seconds elapsed = budget.Updated ? now - *budget.Updated : Seconds(0);
  if (elapsed.count() > 0) {
    budget.Earned *= std::exp(-elapsed / Seconds(EarnedRetryDecayTime));
    budget.Minimum =
        std::min(MinRetriesPerSecond, budget.Minimum + MinRetriesPerSecond * elapsed.count());
  }
  budget.Updated = std::max(budget.Updated.value_or(now), now);
}

bool hasRetryLeft(const Budget &budget) { return budget.Earned >= 1 || budget.Minimum >= 1; }

// A retry is taken from both counts, so that the earned rate and the minimum rate do not add up.
void consumeRetry(Budget &budget) {
  budget.Earned = std::max(0.0, budget.Earned - 1);
  budget.Minimum = std::max(0.0, budget.Minimum - 1);
}

} // namespace

void onRequest(Budgets &budgets, const std::string &customer, const Now &now) {
  for (Budget *it : {&budgets.Node, &budgets.Customers[customer]}) {
    refill(*it, now.Steady);
    it->Earned += RetriesPerRequest;
  }
}

bool tryAcquireRetry(Budgets &budgets, const std::string &customer, const Now &now) {
  Budget &own = budgets.Customers[customer];
  refill(own, now.Steady);
  refill(budgets.Node, now.Steady);
  if (!hasRetryLeft(own) || !hasRetryLeft(budgets.Node))
    return false;
  consumeRetry(own);
  consumeRetry(budgets.Node);
  return true;
}

void prune(Budgets &budgets, const Now &now) {
  std::erase_if(budgets.Customers, [&](const auto &it) {
    return !it.second.Updated || now.Steady - *it.second.Updated > EarnedRetryDecayTime;
  });
}

} // namespace chervil::retry
