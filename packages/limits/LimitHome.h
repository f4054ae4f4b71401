// The limit home of customers: grants shares of their limits to the nodes with demand. Use:
//   onDemandReport(home, from, report, now);
//   confirm(home, customer, now);   // the standby acked the epoch of the customer's shard
//   for (HomeGrant &g : grant(home, lookUpLimits, now)) send(g.To, g.Body);   // every
//   ReportInterval
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

/// Amounts of the three limits.
struct Amounts {
  double Requests = 0;
  double Tokens = 0;
  std::uint32_t Streams = 0;
};

/// A granted share that a node may still hold.
struct HeldShare {
  Amounts Granted;
  TimePoint SentAt{};
  TimePoint CountedUntil{};
};

struct NodeDemand {
  message::Demand Demand;
  TimePoint ReceivedAt{};
};

struct CustomerLimitHome {
  std::uint64_t Epoch = 0;
  /// Start of this node's time as home under Epoch.
  TimePoint HomeSince{};
  /// Send time of the last request that the standby confirmed.
  std::optional<TimePoint> ConfirmedAt;
  std::map<NodeId, NodeDemand> Demands;
  std::map<NodeId, std::vector<HeldShare>> HeldShares;
};

struct LimitHome {
  std::map<std::string, CustomerLimitHome> Customers;
};

struct HomeGrant {
  NodeId To;
  message::ShareGrant Body;
};

/// Makes this node the home of a customer under an epoch of the customer's shard. Does nothing for
/// the same epoch. Shares of an earlier home may be in use for one lifetime.
void becomeHome(LimitHome &home, const std::string &customer, std::uint64_t epoch, const Now &now);

/// Ends this node's time as home.
void resignHome(LimitHome &home, const std::string &customer);

/// The standby has confirmed the epoch. `asked` is when the request for it was sent: a confirmation
/// proves nothing about the time after the standby sent it.
void confirmEpoch(LimitHome &home, const std::string &customer, std::uint64_t epoch,
                  TimePoint requestSentAt);

/// Ignores customers this node is not home of.
void onDemandReport(LimitHome &home, const NodeId &from, const message::DemandReport &report,
                    const Now &now);

/// Shares in proportion to demand, for customers with a fresh confirmation. The shares that nodes
/// may hold at one time never exceed GrantedFraction of a limit.
std::vector<HomeGrant> grantShares(LimitHome &home, const LimitsLookup &lookUpLimits,
                                   const Now &now);

} // namespace chervil::limits

#endif
