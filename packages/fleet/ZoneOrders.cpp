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

/// Adds on-demand servers, spread over the data centres from the cheapest.
void addOnDemand(Wanted &wanted, const ZoneTerms &terms, unsigned missing) {
  const std::vector<std::string> zones = byPrice(terms);
  for (std::size_t i = 0; missing > 0 && i < zones.size() * terms.Max; ++i) {
    const std::string &zone = zones[i % zones.size()];
    if (wanted[{zone, true}] + wanted[{zone, false}] >= terms.Max)
      continue;
    ++wanted[{zone, false}];
    --missing;
  }
}

/// Notes the reclaimable servers that were lost since the last look.
void noteReclaims(ZoneOrders &orders, const ZoneTerms &terms,
                  const std::map<std::string, ZoneCount> &counts, const Now &now) {
  for (const auto &[zone, price] : terms.Prices) {
    const auto it = counts.find(zone);
    const unsigned serving = it == counts.end() ? 0 : it->second.Reclaimable;
    if (serving < orders.Seen[zone])
      orders.LastReclaim = now.Steady;
    orders.Seen[zone] = serving;
  }
}

/// On-demand servers that are needed beside the reclaimable ones that serve.
unsigned bridgeOf(const ZoneOrders &orders, const ZoneTerms &terms, const Now &now) {
  unsigned serving = 0;
  unsigned largest = 0;
  for (const auto &[zone, n] : orders.Seen) {
    serving += n;
    largest = std::max(largest, n);
  }
  if (orders.LastReclaim && now.Steady - *orders.LastReclaim < HazardTime)
    serving -= largest;
  const unsigned needed = neededServers(terms);
  return serving < needed ? needed - serving : 0;
}

Wanted wantedOf(const ZoneOrders &orders, const ZoneTerms &terms, const Now &now) {
  Wanted wanted;
  for (const auto &[zone, price] : terms.Prices) {
    wanted[{zone, true}] = reclaimableTarget(terms);
    wanted[{zone, false}] = 0;
  }
  addOnDemand(wanted, terms, bridgeOf(orders, terms, now));
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
  const auto part = static_cast<unsigned>(std::ceil(terms.ReclaimablePart * terms.Max - 1e-9));
  return std::clamp(part, terms.Min, std::max(terms.Min, terms.Max));
}

unsigned neededServers(const ZoneTerms &terms) {
  const double all = terms.Max * static_cast<double>(terms.Prices.size());
  return static_cast<unsigned>(std::ceil(terms.NeededPart * all - 1e-9));
}

std::vector<ZoneOrder> plan(ZoneOrders &orders, const ZoneTerms &terms,
                            const std::map<std::string, ZoneCount> &counts, const Now &now) {
  std::vector<ZoneOrder> out;
  if (terms.ReclaimablePrice <= 0 || terms.ReclaimablePrice >= 1)
    return out;
  noteReclaims(orders, terms, counts, now);
  for (const auto &[kind, count] : wantedOf(orders, terms, now)) {
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
