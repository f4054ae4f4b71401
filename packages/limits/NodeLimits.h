// Enforces customers' limits on one node. Use:
//   Admission a = admit(limits, customer, contract.Limits, estimate, now);
//   if (a.Code != ResultCode::Ok) refuse(a.Code, a.RetryAfter);
//   ...
//   settle(limits, customer, contract.Limits, estimate, generatedTokens, now);  // at its end
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

/// A token bucket. The level is negative while a request that was larger than its estimate or than
/// the bucket is paid off.
struct Bucket {
  double Level = 0;
  /// Admitted and refused amounts since the last report.
  double Offered = 0;
  /// Measured demand per second.
  double Demand = 0;
};

struct CustomerLimits {
  Bucket Requests;
  Bucket Tokens;
  /// Running requests.
  std::uint32_t Streams = 0;
  std::uint32_t RefusedForStreams = 0;
  message::Share Share;
  TimePoint ShareExpiresAt{};
  TimePoint Updated{};
  TimePoint LastUsedAt{};
};

struct NodeLimits {
  std::map<std::string, CustomerLimits> Customers;
  /// Nodes the floor is split over.
  std::size_t FloorNodes = 1;
  TimePoint FloorNodesSetAt{};
  std::optional<TimePoint> LastReport;
};

struct Admission {
  ResultCode Code = ResultCode::Ok;
  /// When a refused request may succeed; 0 for an admitted one.
  Duration RetryAfter{0};
};

/// States how many nodes are live, this one included. Call it whenever that changes and at least
/// every few minutes; nodes should count before they admit.
void setLiveNodes(NodeLimits &limits, std::size_t live, const Now &now);

/// Counts the request against the limits if all allow it: LimitConcurrency, LimitRequests or
/// LimitTokens otherwise. A request larger than the token bucket is admitted when the bucket is
/// full.
Admission admit(NodeLimits &limits, const std::string &customer, const ContractLimits &contract,
                double tokens, const Now &now);

/// Ends an admitted request and replaces the estimate by the real number of tokens.
void settle(NodeLimits &limits, const std::string &customer, const ContractLimits &contract,
            double estimate, double tokens, const Now &now);

/// Each share replaces the one held.
void onShareGrant(NodeLimits &limits, const message::ShareGrant &grant,
                  const LimitsLookup &lookUpLimits, const Now &now);

/// Demand of customers that have any, or hold a share. Call it every ReportInterval, split the
/// result by limit home, and send each home its part.
message::DemandReport makeDemandReport(NodeLimits &limits, const LimitsLookup &lookUpLimits,
                                       const Now &now);

} // namespace chervil::limits

#endif
