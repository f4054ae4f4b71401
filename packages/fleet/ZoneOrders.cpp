#include "fleet/ZoneOrders.h"

#include <algorithm>
#include <cmath>

namespace chervil::fleet {
namespace {

using namespace std::chrono_literals;

// Delay between orders after a refusal. Refusals last many seconds, and each call costs money.
constexpr Duration RefusedRetryDelay = 2s;
// Delay after an order without an answer.
constexpr Duration UnknownRetryDelay = 1s;
// Servers that do not serve this long after their boot time has passed are ordered again.
constexpr Duration BootMargin = 3s;

/// Target number of servers by data centre and whether reclaimable.
using TargetCounts = std::map<std::pair<std::string, bool>, unsigned>;

/// Data centres in ascending order of price.
std::vector<std::string> zonesByPrice(const ZoneTerms &terms) {
  std::vector<std::string> out;
  for (const auto &[zone, price] : terms.Prices)
    out.push_back(zone);
  std::ranges::stable_sort(out, {}, [&](const std::string &it) { return terms.Prices.at(it); });
  return out;
}

/// Number of reclaimable servers that count against the bound of a data centre: the target, or the
/// number that serve if more were refused.
unsigned reservedReclaimable(TargetCounts &targets, const ZoneOrders &orders,
                             const std::string &zone) {
  const auto state = orders.States.find({zone, true});
  const auto seen = orders.LastReclaimable.find(zone);
  if (state != orders.States.end() && state->second.Refused && seen != orders.LastReclaimable.end())
    return seen->second;
  return targets[{zone, true}];
}

/// Number of on-demand servers of a data centre: as last ordered, or as observed if none was
/// ordered.
unsigned currentOnDemand(const ZoneOrders &orders, const std::map<std::string, ZoneCount> &counts,
                         const std::string &zone) {
  const auto state = orders.States.find({zone, false});
  if (state != orders.States.end())
    return state->second.Count;
  const auto found = counts.find(zone);
  return found == counts.end() ? 0 : found->second.OnDemand;
}

/// Distributes `needed` on-demand servers over the data centres. Existing servers stay where they
/// are, because a move costs the start of a server and the prompts that the old one has read.
/// Servers are added starting with the cheapest data centres and released starting with the most
/// expensive.
void spreadOnDemand(TargetCounts &targets, const ZoneOrders &orders, const ZoneTerms &terms,
                    const std::map<std::string, ZoneCount> &counts, unsigned needed) {
  const std::vector<std::string> zones = zonesByPrice(terms);
  unsigned total = 0;
  for (const std::string &zone : zones) {
    const unsigned n = std::min(currentOnDemand(orders, counts, zone), terms.Max);
    targets[{zone, false}] = n;
    total += n;
  }
  for (std::size_t i = 0; total < needed && i < zones.size() * terms.Max; ++i) {
    const std::string &zone = zones[i % zones.size()];
    if (reservedReclaimable(targets, orders, zone) + targets[{zone, false}] >= terms.Max)
      continue;
    ++targets[{zone, false}];
    ++total;
  }
  for (std::size_t i = 0; total > needed; ++i) {
    unsigned &n = targets[{zones[zones.size() - 1 - i % zones.size()], false}];
    if (n == 0)
      continue;
    --n;
    --total;
  }
}

/// Updates the observed reclaimable servers. A decrease counts as a reclaim.
void detectReclaims(ZoneOrders &orders, const ZoneTerms &terms,
                    const std::map<std::string, ZoneCount> &counts, const Now &now) {
  for (const auto &[zone, price] : terms.Prices) {
    const auto it = counts.find(zone);
    const unsigned serving = it == counts.end() ? 0 : it->second.Reclaimable;
    if (serving < orders.LastReclaimable[zone])
      orders.LastReclaim = now.Steady;
    orders.LastReclaimable[zone] = serving;
  }
}

bool isReclaimExpected(const ZoneOrders &orders, const Now &now) {
  return orders.LastReclaim && now.Steady - *orders.LastReclaim < ReclaimWaveDuration;
}

/// Number of data centres that are left in a wave of reclaims.
unsigned remainingZones(const ZoneTerms &terms) {
  const auto zones = static_cast<unsigned>(terms.Prices.size());
  return zones > LostZones ? zones - LostZones : 1;
}

/// The need for which the serving reclaimable servers were ordered, as a holder that has just taken
/// over the duty finds them.
unsigned needOfServing(const ZoneTerms &terms, const std::map<std::string, ZoneCount> &counts) {
  unsigned largest = 0;
  for (const auto &[zone, it] : counts)
    largest = std::max(largest, it.Reclaimable);
  return largest > SpareServers ? (largest - SpareServers) * remainingZones(terms) : 0;
}

/// Raises the need that reclaimable servers are kept for immediately, and lowers it late. An
/// assumed need is replaced by the first measured one.
void updateReservedNeed(ZoneOrders &orders, const ZoneTerms &terms,
                        const std::map<std::string, ZoneCount> &counts, const Now &now) {
  if (orders.States.empty()) {
    orders.ReservedNeed = needOfServing(terms, counts);
    orders.ReservedNeedAt = now.Steady;
    orders.IsReservedNeedMeasured = orders.ReservedNeed > 0;
  }
  const bool isFirstMeasured =
      terms.BusyServers && !orders.IsReservedNeedMeasured && orders.NeededUpdatedAt == now.Steady;
  const bool isLowLong = now.Steady - orders.ReservedNeedAt > ReclaimableReleaseDelay;
  const bool mayRelease = (isFirstMeasured || isLowLong) && !isReclaimExpected(orders, now);
  if (orders.Needed < orders.ReservedNeed && !mayRelease)
    return;
  orders.ReservedNeed = orders.Needed;
  orders.ReservedNeedAt = now.Steady;
  orders.IsReservedNeedMeasured = terms.BusyServers.has_value();
}

/// Number of on-demand servers needed in addition to the serving reclaimable ones, without those of
/// the largest data centre while another reclaim is expected.
unsigned requiredOnDemand(const ZoneOrders &orders, const Now &now) {
  unsigned serving = 0;
  unsigned largest = 0;
  for (const auto &[zone, n] : orders.LastReclaimable) {
    serving += n;
    largest = std::max(largest, n);
  }
  if (isReclaimExpected(orders, now))
    serving -= largest;
  return serving < orders.Needed ? orders.Needed - serving : 0;
}

/// Target numbers for all data centres, within the bounds.
TargetCounts computeTargets(const ZoneOrders &orders, const ZoneTerms &terms,
                            const std::map<std::string, ZoneCount> &counts, const Now &now) {
  TargetCounts targets;
  for (const auto &[zone, price] : terms.Prices) {
    targets[{zone, true}] = reclaimableTarget(terms, orders.ReservedNeed);
    targets[{zone, false}] = 0;
  }
  spreadOnDemand(targets, orders, terms, counts, requiredOnDemand(orders, now));
  for (const auto &[zone, price] : terms.Prices)
    targets[{zone, true}] =
        std::min(targets[{zone, true}], terms.Max - std::min(terms.Max, targets[{zone, false}]));
  return targets;
}

/// Raises the number of needed servers immediately and lowers it after ScaleDownDelay.
void updateNeededServers(ZoneOrders &orders, const ZoneTerms &terms, const Now &now) {
  const unsigned needed = neededServers(terms);
  if (needed < orders.Needed && now.Steady - orders.NeededUpdatedAt <= ScaleDownDelay)
    return;
  orders.Needed = needed;
  orders.NeededUpdatedAt = now.Steady;
}

/// Number of serving servers of one kind in a data centre.
unsigned servingCount(const std::map<std::string, ZoneCount> &counts, const std::string &zone,
                      bool reclaimable) {
  const auto it = counts.find(zone);
  if (it == counts.end())
    return 0;
  return reclaimable ? it->second.Reclaimable : it->second.OnDemand;
}

} // namespace

unsigned reclaimableTarget(const ZoneTerms &terms, unsigned needed) {
  const unsigned remaining = remainingZones(terms);
  const unsigned perZone = (needed + remaining - 1) / remaining + SpareServers;
  const auto most = static_cast<unsigned>(std::ceil(terms.ReclaimableFraction * terms.Max - 1e-9));
  return std::clamp(std::min(perZone, most), terms.Min, std::max(terms.Min, terms.Max));
}

unsigned neededServers(const ZoneTerms &terms) {
  const double all = terms.Max * static_cast<double>(terms.Prices.size());
  const double needed = terms.BusyServers ? std::clamp(*terms.BusyServers / TargetUtilisation,
                                                       MinNeededFraction * all, all)
                                          : terms.NeededFraction * all;
  return static_cast<unsigned>(std::ceil(needed - 1e-9));
}

std::vector<ZoneOrder> planOrders(ZoneOrders &orders, const ZoneTerms &terms,
                                  const std::map<std::string, ZoneCount> &counts, const Now &now) {
  std::vector<ZoneOrder> out;
  if (terms.ReclaimablePrice <= 0 || terms.ReclaimablePrice >= 1)
    return out;
  detectReclaims(orders, terms, counts, now);
  updateNeededServers(orders, terms, now);
  updateReservedNeed(orders, terms, counts, now);
  for (const auto &[kind, count] : computeTargets(orders, terms, counts, now)) {
    OrderState &state = orders.States[kind];
    const unsigned serving = servingCount(counts, kind.first, kind.second);
    const bool isNew = !state.Sent || state.Count != count;
    const bool isShort = serving < count && now.Steady - state.SentAt > terms.BootTime + BootMargin;
    if (state.Pending || now.Steady < state.NotBefore || (!isNew && !isShort))
      continue;
    state = {true, true, state.Refused, count, now.Steady, now.Steady};
    out.push_back({kind.first, kind.second, count});
  }
  return out;
}

void onOrderResult(ZoneOrders &orders, const ZoneOrder &order, OrderResult result, const Now &now) {
  OrderState &state = orders.States[{order.DataCentre, order.Reclaimable}];
  state.Pending = false;
  state.Refused = result == OrderResult::Refused;
  if (result == OrderResult::Accepted)
    return;
  state.Sent = false;
  state.NotBefore =
      now.Steady + (result == OrderResult::Refused ? RefusedRetryDelay : UnknownRetryDelay);
}

} // namespace chervil::fleet
