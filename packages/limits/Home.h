// The limit home of customers: grants shares of their limits to the nodes with demand. Use:
//   onReport(home, from, report, now);
//   confirm(home, customer, now);   // the standby acked the epoch of the customer's shard
//   for (HomeGrant &g : grant(home, limitsOf, now)) send(g.To, g.Body);   // every ReportInterval
// Not thread-safe.
#ifndef CHERVIL_LIMITS_HOME_H
#define CHERVIL_LIMITS_HOME_H

#include "base/NodeId.h"
#include "base/Time.h"
#include "limits/LimitsOf.h"
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
  TimePoint Sent{};
  TimePoint Until{};
};

struct NodeDemand {
  message::Demand Demand;
  TimePoint Received{};
};

struct CustomerHome {
  std::uint64_t Epoch = 0;
  /// Start of this node's time as home under Epoch.
  TimePoint Since{};
  /// Send time of the last request that the standby confirmed.
  std::optional<TimePoint> Confirmed;
  std::map<NodeId, NodeDemand> Demands;
  std::map<NodeId, std::vector<HeldShare>> Held;
};

struct Home {
  std::map<std::string, CustomerHome> Customers;
};

struct HomeGrant {
  NodeId To;
  message::ShareGrant Body;
};

/// Makes this node the home of a customer under an epoch of the customer's shard. Does nothing for
/// the same epoch. Shares of an earlier home may be in use for one lifetime.
void becomeHome(Home &home, const std::string &customer, std::uint64_t epoch, const Now &now);

/// Ends this node's time as home.
void resign(Home &home, const std::string &customer);

/// The standby has confirmed the epoch. `asked` is when the request for it was sent: a confirmation
/// proves nothing about the time after the standby sent it.
void confirm(Home &home, const std::string &customer, std::uint64_t epoch, TimePoint asked);

/// Ignores customers this node is not home of.
void onReport(Home &home, const NodeId &from, const message::DemandReport &report, const Now &now);

/// Shares in proportion to demand, for customers with a fresh confirmation. The shares that nodes
/// may hold at one time never exceed GrantedPart of a limit.
std::vector<HomeGrant> grant(Home &home, const LimitsOf &limitsOf, const Now &now);

} // namespace chervil::limits

#endif
