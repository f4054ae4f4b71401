// Bounds retries per customer and per node. Use:
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

/// Retries per request.
inline constexpr double RetriesPerRequest = 0.1;
/// Retries per second that are allowed at any rate of requests.
inline constexpr double MinRetriesPerSecond = 3;
/// Earned retries are kept for this long at the rate at which they were earned, so that the
/// time before an outage does not allow a storm at its start. With 10 s, the first second of an
/// outage had twice the normal load.
inline constexpr Duration EarnedRetryDecayTime = std::chrono::seconds(1);

/// Part of a budget. Requests earn retries; the minimum rate refills separately, so that the total
/// is the larger of both and not their sum.
struct Budget {
  /// Retries earned by requests, decaying over EarnedRetryDecayTime.
  double Earned = 0;
  /// Retries left of the minimum rate, at most one second's worth.
  double Minimum = MinRetriesPerSecond;
  std::optional<TimePoint> Updated;
};

struct Budgets {
  Budget Node;
  std::map<std::string, Budget> Customers;
};

/// Counts a first attempt.
void onRequest(Budgets &budgets, const std::string &customer, const Now &now);

/// Takes one retry from the budgets of the customer and the node, if both have one.
bool tryAcquireRetry(Budgets &budgets, const std::string &customer, const Now &now);

/// Drops the state of customers without requests or retries in the last EarnedRetryDecayTime. Call
/// it about every minute.
void prune(Budgets &budgets, const Now &now);

} // namespace chervil::retry

#endif
