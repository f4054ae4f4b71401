// Enforces the limits of customers on one node. Usage:
//   Admission a = admit(limits, customer, contract.Limits, estimate, now);
//   if (a.Code != ResultCode::Ok) refuse(a.Code, a.RetryAfter);
//   ...
//   settle(limits, customer, contract.Limits, estimate, generatedTokens, now);  // when it ends
// Not thread-safe.
#ifndef CHERVIL_LIMITS_NODELIMITS_H
#define CHERVIL_LIMITS_NODELIMITS_H

#include "base/ResultCode.h"
#include "base/Time.h"
#include "limits/LimitsLookup.h"
#include "limits/Tuning.h"
#include "message/DemandReport.h"
#include "message/ShareGrant.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace chervil::limits {

/// A token bucket. The level is negative after a request that used more than its estimate or more
/// than the capacity of the bucket, until the bucket has refilled.
struct Bucket {
  /// Available requests or tokens.
  double Level = 0;
  /// Requests or tokens offered since the last report, admitted and rejected together.
  double Offered = 0;
  /// Smoothed offered load per second.
  double Demand = 0;
};

/// State of one customer on this node.
struct CustomerLimits {
  Bucket Requests;
  Bucket Tokens;
  /// Admitted requests that have not been settled.
  std::uint32_t Streams = 0;
  /// Requests rejected with LimitConcurrency since the last report.
  std::uint32_t RefusedForStreams = 0;
  /// Share granted by the limit home; zero after ShareExpiresAt.
  message::Share Share;
  TimePoint ShareExpiresAt{};
  /// Time up to which the buckets are refilled.
  TimePoint Updated{};
  TimePoint LastUsedAt{};
};

/// Limit state of one node.
struct NodeLimits {
  std::map<std::string, CustomerLimits> Customers;
  /// Number of nodes that the floor is split over.
  std::size_t FloorNodes = 1;
  /// When FloorNodes was last set or confirmed.
  TimePoint FloorNodesSetAt{};
  std::optional<TimePoint> LastReport;
};

/// Result of admit().
struct Admission {
  ResultCode Code = ResultCode::Ok;
  /// Time after which a rejected request may be admitted; 0 for an admitted one.
  Duration RetryAfter{0};
};

/// Sets the number of live nodes, including this one. A lower number takes effect only after
/// FloorNodesRetention. Call this whenever the number changes, at least every few minutes, and once
/// before the first call of admit().
void setLiveNodes(NodeLimits &limits, std::size_t live, const Now &now);

/// Admits a request and charges it to all limits, or charges nothing and returns LimitConcurrency,
/// LimitRequests or LimitTokens. `tokens` is an estimate. A request larger than the token bucket is
/// admitted when the bucket is full.
Admission admit(NodeLimits &limits, const std::string &customer, const ContractLimits &contract,
                double tokens, const Now &now);

/// Ends an admitted request and corrects the charge from the estimate to the actual number of
/// tokens.
void settle(NodeLimits &limits, const std::string &customer, const ContractLimits &contract,
            double estimate, double tokens, const Now &now);

/// Applies a grant. Each share replaces the current share of its customer; customers without a
/// contract are ignored.
void onShareGrant(NodeLimits &limits, const message::ShareGrant &grant,
                  const LimitsLookup &lookUpLimits, const Now &now);

/// Returns the demand of all customers that have demand or hold a share, and drops the state of
/// idle customers. Call it every ReportInterval, split the result by limit home, and send each home
/// its part.
message::DemandReport makeDemandReport(NodeLimits &limits, const LimitsLookup &lookUpLimits,
                                       const Now &now);

} // namespace chervil::limits

#endif
