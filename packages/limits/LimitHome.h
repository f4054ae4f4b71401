// The limit home of customers: the node that grants shares of their limits to the nodes with
// demand. Usage:
//   onDemandReport(home, from, report, now);
//   confirmEpoch(home, customer, epoch, sentAt);   // confirmed by the standby of the shard
//   for (HomeGrant &g : grantShares(home, lookUpLimits, now))   // every ReportInterval
//     send(g.To, g.Body);
// Not thread-safe.
#ifndef CHERVIL_LIMITS_LIMITHOME_H
#define CHERVIL_LIMITS_LIMITHOME_H

#include "base/NodeId.h"
#include "base/Time.h"
#include "limits/LimitsLookup.h"
#include "limits/Tuning.h"
#include "message/DemandReport.h"
#include "message/ShareGrant.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervil::limits {

/// Requests per second, tokens per second and concurrent streams.
struct Amounts {
  double Requests = 0;
  double Tokens = 0;
  std::uint32_t Streams = 0;
};

/// A granted share that a node may still be using.
struct HeldShare {
  Amounts Granted;
  TimePoint SentAt{};
  TimePoint CountedUntil{};
};

/// The latest demand report of a node for one customer.
struct NodeDemand {
  message::Demand Demand;
  TimePoint ReceivedAt{};
};

/// State of one customer at its limit home.
struct CustomerLimitHome {
  /// Epoch of the customer's shard under which this node is the home.
  std::uint64_t Epoch = 0;
  /// When this node became the home under Epoch.
  TimePoint HomeSince{};
  /// Send time of the latest request that the standby confirmed; absent if none was.
  std::optional<TimePoint> ConfirmedAt;
  std::map<NodeId, NodeDemand> Demands;
  std::map<NodeId, std::vector<HeldShare>> HeldShares;
};

/// All customers that this node is the limit home of.
struct LimitHome {
  std::map<std::string, CustomerLimitHome> Customers;
};

/// A grant message and the node to send it to.
struct HomeGrant {
  NodeId To;
  message::ShareGrant Body;
};

/// Makes this node the limit home of a customer under an epoch of the customer's shard. Does
/// nothing if it already is under the same epoch. The new home grants nothing for ShareLifetime
/// plus DeliveryMargin, because shares of the previous home may still be in use.
void becomeHome(LimitHome &home, const std::string &customer, std::uint64_t epoch, const Now &now);

/// Removes this node as the limit home of the customer.
void resignHome(LimitHome &home, const std::string &customer);

/// Records that the standby confirmed the epoch; ignored if it is not the current one.
/// `requestSentAt` is when the request was sent, because a confirmation says nothing about the time
/// after the standby answered.
void confirmEpoch(LimitHome &home, const std::string &customer, std::uint64_t epoch,
                  TimePoint requestSentAt);

/// Records the demand of a node. Customers of other limit homes are ignored.
void onDemandReport(LimitHome &home, const NodeId &from, const message::DemandReport &report,
                    const Now &now);

/// Returns grants in proportion to demand for all customers with a recent confirmation. The shares
/// that nodes may hold at any time never exceed GrantedFraction of a limit in total.
std::vector<HomeGrant> grantShares(LimitHome &home, const LimitsLookup &lookUpLimits,
                                   const Now &now);

} // namespace chervil::limits

#endif
