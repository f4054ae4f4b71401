#include "fleet/ZoneOrders.h"

#include <algorithm>
#include <cmath>

namespace chervil::fleet {
namespace {

using namespace std::chrono_literals;

// After a refusal the capacity is asked for again at this pace; outages last many seconds, and each
// call has a price.
constexpr Duration RefusedPause = 2s;
constexpr Duration UnknownPause = 1s;
// Added to the boot time before servers that were ordered and do not serve are ordered again.
constexpr Duration BootMargin = 3s;

using Wanted = std::map<std::pair<std::string, bool>, unsigned>;

/// Data centres from the cheapest to the dearest.
std::vector<std::string> byPrice(const ZoneTerms &terms) {
  std::vector<std::string> out;
  for (const auto &[zone, price] : terms.Prices)
    out.push_back(zone);
  std::ranges::stable_sort(out, {}, [&](const std::string &it) { return terms.Prices.at(it); });
  return out;
}

/// On-demand servers that bridge what the reclaimable ones lack, spread over the cheapest data
/// centres.
void addBridge(Wanted &wanted, const ZoneTerms &terms, unsigned missing) {
  const std::vector<std::string> zones = byPrice(terms);
  for (std::size_t i = 0; missing > 0 && i < zones.size() * terms.Max; ++i) {
    const std::string &zone = zones[i % zones.size()];
    if (wanted[{zone, true}] + wanted[{zone, false}] >= terms.Max)
      continue;
    ++wanted[{zone, false}];
    --missing;
  }
}

Wanted wantedOf(const ZoneTerms &terms, const std::map<std::string, ZoneCount> &counts) {
  Wanted wanted;
  const unsigned each = reclaimableTarget(terms);
  unsigned serving = 0;
  for (const auto &[zone, price] : terms.Prices) {
    wanted[{zone, true}] = each;
    wanted[{zone, false}] = 0;
    if (const auto it = counts.find(zone); it != counts.end())
      serving += it->second.Reclaimable;
  }
  const auto needed = static_cast<unsigned>(
      std::ceil(BridgePart * each * static_cast<double>(terms.Prices.size())));
  if (serving < needed)
    addBridge(wanted, terms, needed - serving);
  return wanted;
}

unsigned servingOf(const std::map<std::string, ZoneCount> &counts, const std::string &zone,
                   bool reclaimable) {
  const auto it = counts.find(zone);
  if (it == counts.end())
    return 0;
  return reclaimable ? it->second.Reclaimable : it->second.OnDemand;
}

} // namespace

unsigned reclaimableTarget(const ZoneTerms &terms) {
  const auto part = static_cast<unsigned>(std::ceil(ReclaimablePart * terms.Max - 1e-9));
  return std::clamp(part, terms.Min, std::max(terms.Min, terms.Max));
}

std::vector<ZoneOrder> plan(ZoneOrders &orders, const ZoneTerms &terms,
                            const std::map<std::string, ZoneCount> &counts, const Now &now) {
  std::vector<ZoneOrder> out;
  if (terms.ReclaimablePrice <= 0 || terms.ReclaimablePrice >= 1)
    return out;
  for (const auto &[kind, count] : wantedOf(terms, counts)) {
    OrderState &state = orders.States[kind];
    const unsigned serving = servingOf(counts, kind.first, kind.second);
    const bool isNew = !state.Sent || state.Count != count;
    const bool isShort = serving < count && now.Steady - state.SentAt > terms.BootTime + BootMargin;
    if (state.Pending || now.Steady < state.NotBefore || (!isNew && !isShort))
      continue;
    state = {true, true, count, now.Steady, now.Steady};
    out.push_back({kind.first, kind.second, count});
  }
  return out;
}

void onOrderResult(ZoneOrders &orders, const ZoneOrder &order, OrderResult result, const Now &now) {
  OrderState &state = orders.States[{order.DataCentre, order.Reclaimable}];
  state.Pending = false;
  if (result == OrderResult::Accepted)
    return;
  state.Sent = false;
  state.NotBefore = now.Steady + (result == OrderResult::Refused ? RefusedPause : UnknownPause);
}

} // namespace chervil::fleet
