// Retry budgets that limit retries per customer and per node. Use:
//   onRequest(budgets, customer, now);                    // for each admitted request
//   if (!tryAcquireRetry(budgets, customer, now)) refuse(ResultCode::RetryBudgetSpent);
// Not thread-safe.
#ifndef CHERVIL_RETRY_BUDGET_H
#define CHERVIL_RETRY_BUDGET_H

#include "base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace chervil::retry {

/// Retries that each admitted request earns.
inline constexpr double RetriesPerRequest = 0.1;
/// Retries per second that are allowed at any request rate. Also the burst of this minimum rate.
inline constexpr double MinRetriesPerSecond = 3;
/// Time constant of the exponential decay of earned retries. It is short so that retries earned
/// before an outage do not cause a retry storm at its start: with 10 s, the first second of an
/// outage had twice the normal load.
inline constexpr Duration EarnedRetryDecayTime = std::chrono::seconds(1);

/// Retry budget of one customer or of the node. Retries earned by requests and retries of the
/// minimum rate are counted separately, so that the allowed rate is the larger of both and not
/// their sum.
struct Budget {
  /// Retries earned by requests, decaying with the time constant EarnedRetryDecayTime.
  double Earned = 0;
  /// Retries left of the minimum rate, at most those of one second.
  double Minimum = MinRetriesPerSecond;
  /// Time of the last decay and refill; empty before the first.
  std::optional<TimePoint> Updated;
};

/// Retry budgets of a node.
struct Budgets {
  /// Shared by all customers.
  Budget Node;
  /// By customer.
  std::map<std::string, Budget> Customers;
};

/// Records an admitted request, which earns RetriesPerRequest. Retries are not counted here.
void onRequest(Budgets &budgets, const std::string &customer, const Now &now);

/// Takes one retry from the budgets of both the customer and the node. Returns false, and takes
/// nothing, if either has none left.
bool tryAcquireRetry(Budgets &budgets, const std::string &customer, const Now &now);

/// Drops customers without requests or attempted retries in the last EarnedRetryDecayTime. Call it
/// about once a minute.
void prune(Budgets &budgets, const Now &now);

} // namespace chervil::retry

#endif
