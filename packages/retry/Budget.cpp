#include "retry/Budget.h"

#include <algorithm>
#include <cmath>

namespace chervil::retry {
namespace {

using Seconds = std::chrono::duration<double>;

void update(Budget &budget, TimePoint now) {
  const Seconds elapsed = budget.Updated ? now - *budget.Updated : Seconds(0);
  if (elapsed.count() > 0) {
    budget.Earned *= std::exp(-elapsed / Seconds(EarnedRetryDecayTime));
    budget.Minimum =
        std::min(MinRetriesPerSecond, budget.Minimum + MinRetriesPerSecond * elapsed.count());
  }
  budget.Updated = std::max(budget.Updated.value_or(now), now);
}

bool hasRetry(const Budget &budget) { return budget.Earned >= 1 || budget.Minimum >= 1; }

// A retry counts against both parts, so that their rates do not add up.
void take(Budget &budget) {
  budget.Earned = std::max(0.0, budget.Earned - 1);
  budget.Minimum = std::max(0.0, budget.Minimum - 1);
}

} // namespace

void onRequest(Budgets &budgets, const std::string &customer, const Now &now) {
  for (Budget *it : {&budgets.Node, &budgets.Customers[customer]}) {
    update(*it, now.Steady);
    it->Earned += RetriesPerRequest;
  }
}

bool tryAcquireRetry(Budgets &budgets, const std::string &customer, const Now &now) {
  Budget &own = budgets.Customers[customer];
  update(own, now.Steady);
  update(budgets.Node, now.Steady);
  if (!hasRetry(own) || !hasRetry(budgets.Node))
    return false;
  take(own);
  take(budgets.Node);
  return true;
}

void prune(Budgets &budgets, const Now &now) {
  std::erase_if(budgets.Customers, [&](const auto &it) {
    return !it.second.Updated || now.Steady - *it.second.Updated > EarnedRetryDecayTime;
  });
}

} // namespace chervil::retry
