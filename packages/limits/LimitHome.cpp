#include "limits/LimitHome.h"

#include <algorithm>
#include <cmath>

namespace chervil::limits {
namespace {

// Per limit, the maximum that a node may use under any of its unexpired shares.
Amounts maxHeldAmounts(const std::vector<HeldShare> &shares) {
  Amounts most;
  for (const HeldShare &it : shares) {
    most.Requests = std::max(most.Requests, it.Granted.Requests);
    most.Tokens = std::max(most.Tokens, it.Granted.Tokens);
    most.Streams = std::max(most.Streams, it.Granted.Streams);
  }
  return most;
}

void add(Amounts &sum, const Amounts &more) {
  sum.Requests += more.Requests;
  sum.Tokens += more.Tokens;
  sum.Streams += more.Streams;
}

void expire(CustomerLimitHome &customer, TimePoint now) {
  for (auto &[node, shares] : customer.HeldShares)
    std::erase_if(shares, [now](const HeldShare &it) { return it.CountedUntil <= now; });
  std::erase_if(customer.HeldShares, [](const auto &it) { return it.second.empty(); });
  std::erase_if(customer.Demands,
                [now](const auto &it) { return now - it.second.ReceivedAt > ReportLifetime; });
}

// Returns one node's part of `pool`, at most what the shares of other nodes leave. If the total
// demand exceeds the pool, the part is proportional to the node's demand. Otherwise it is the
// demand plus an equal part of the remainder, because a node with few requests measures no demand
// in some intervals and needs headroom for the next request.
double splitPool(double pool, double demand, double total, double heldByOthers, std::size_t nodes) {
  if (demand <= 0)
    return 0;
  const double wanted =
      total > pool ? pool * demand / total : demand + (pool - total) / static_cast<double>(nodes);
  return std::clamp(wanted, 0.0, std::max(0.0, pool - heldByOthers));
}

Amounts computeShare(const ContractLimits &limits, const message::Demand &demand,
                     const Amounts &total, const Amounts &others, std::size_t nodes) {
  const double streams = std::floor(GrantedFraction * limits.Streams);
  return {splitPool(GrantedFraction * limits.RequestsPerSecond, demand.RequestsPerSecond,
                    total.Requests, others.Requests, nodes),
          splitPool(GrantedFraction * limits.TokensPerSecond, demand.TokensPerSecond, total.Tokens,
                    others.Tokens, nodes),
          static_cast<std::uint32_t>(
              splitPool(streams, demand.Streams, total.Streams, others.Streams, nodes))};
}

} // namespace

void becomeHome(LimitHome &home, const std::string &customer, std::uint64_t epoch, const Now &now) {
  CustomerLimitHome &entry = home.Customers[customer];
  if (entry.Epoch == epoch)
    return;
  entry = CustomerLimitHome{};
  entry.Epoch = epoch;
  entry.HomeSince = now.Steady;
}

void resignHome(LimitHome &home, const std::string &customer) { home.Customers.erase(customer); }

void confirmEpoch(LimitHome &home, const std::string &customer, std::uint64_t epoch,
                  TimePoint requestSentAt) {
  const auto it = home.Customers.find(customer);
  if (it == home.Customers.end() || it->second.Epoch != epoch)
    return;
  std::optional<TimePoint> &confirmed = it->second.ConfirmedAt;
  confirmed = std::max(confirmed.value_or(requestSentAt), requestSentAt);
}

void onDemandReport(LimitHome &home, const NodeId &from, const message::DemandReport &report,
                    const Now &now) {
  for (const message::Demand &demand : report.Demands) {
    const auto it = home.Customers.find(demand.Customer);
    if (it == home.Customers.end())
      continue;
    NodeDemand &entry = it->second.Demands[from];
    entry = {demand, now.Steady};
    for (double *rate : {&entry.Demand.RequestsPerSecond, &entry.Demand.TokensPerSecond})
      if (!std::isfinite(*rate) || *rate < 0)
        *rate = 0;
    const auto held = it->second.HeldShares.find(from);
    if (held == it->second.HeldShares.end())
      continue;
    // The newest share that the node must have received by now replaces all earlier ones.
    std::vector<HeldShare> &shares = held->second;
    const auto known = std::ranges::find_if(shares.rbegin(), shares.rend(), [&](const auto &share) {
      return now.Steady - share.SentAt >= AckDelay;
    });
    if (known != shares.rend())
      shares.erase(shares.begin(), known.base() - 1);
  }
}

std::vector<HomeGrant> grantShares(LimitHome &home, const LimitsLookup &lookUpLimits,
                                   const Now &now) {
  std::map<NodeId, message::ShareGrant> grants;
  for (auto &[name, customer] : home.Customers) {
    expire(customer, now.Steady);
    const ContractLimits *limits = lookUpLimits(name);
    if (limits == nullptr || !customer.ConfirmedAt ||
        now.Steady - customer.HomeSince < ShareLifetime + DeliveryMargin)
      continue;
    // A share expires together with the confirmation that it is based on. The standby may be
    // promoted at any time after confirming, and as the new home it waits for one lifetime only.
    const Duration lifetime =
        std::min<Duration>(ShareLifetime, *customer.ConfirmedAt + ShareLifetime - now.Steady);
    const auto ms = std::chrono::floor<std::chrono::milliseconds>(lifetime);
    if (ms.count() <= 0)
      continue;
    Amounts total;
    for (const auto &[node, it] : customer.Demands)
      add(total, {it.Demand.RequestsPerSecond, it.Demand.TokensPerSecond, it.Demand.Streams});
    Amounts allHeld;
    for (const auto &[node, shares] : customer.HeldShares)
      add(allHeld, maxHeldAmounts(shares));
    for (const auto &[node, it] : customer.Demands) {
      std::vector<HeldShare> &shares = customer.HeldShares[node];
      const Amounts own = maxHeldAmounts(shares);
      const Amounts others{allHeld.Requests - own.Requests, allHeld.Tokens - own.Tokens,
                           allHeld.Streams - own.Streams};
      const Amounts share =
          computeShare(*limits, it.Demand, total, others, customer.Demands.size());
      shares.push_back({share, now.Steady, now.Steady + ms + DeliveryMargin});
      const Amounts most = maxHeldAmounts(shares);
      allHeld = others;
      add(allHeld, most);
      grants[node].Shares.push_back({name, share.Requests, share.Tokens, share.Streams, ms});
    }
  }
  std::vector<HomeGrant> result;
  result.reserve(grants.size());
  for (auto &[node, body] : grants)
    result.push_back({node, std::move(body)});
  return result;
}

} // namespace chervil::limits
