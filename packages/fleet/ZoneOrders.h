// How many backend servers of one service to order in each data centre, where the platform takes
// orders as counts per data centre and kind. Use, as the holder of the duty, every half second:
//   for (const ZoneOrder &it : plan(orders, terms, counts, now)) send(it);
//   onOrderResult(orders, it, OrderResult::Accepted, now);
// Answers reclaims of whole data centres while their capacity is refused for many seconds: the
// fleet is made of reclaimable servers, with enough of them that the loss of one data centre leaves
// what is needed, and on-demand servers bridge only what is missing beyond that. Pure.
#ifndef CHERVIL_FLEET_ZONEORDERS_H
#define CHERVIL_FLEET_ZONEORDERS_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chervil::fleet {

struct ZoneTerms {
  /// Bounds on both kinds of servers together, per data centre.
  unsigned Min = 0;
  unsigned Max = 0;
  /// Price of a reclaimable server as a part of any other's; 0 if there are none.
  double ReclaimablePrice = 0;
  std::chrono::milliseconds BootTime{0};
  /// Price by data centre.
  std::map<std::string, double> Prices;
};

/// Servers that serve and are not leaving.
struct ZoneCount {
  unsigned Reclaimable = 0;
  unsigned OnDemand = 0;
};

struct ZoneOrder {
  std::string DataCentre;
  bool Reclaimable = false;
  unsigned Count = 0;
};

enum class OrderResult : std::uint8_t {
  Accepted,
  /// None are to be had there now.
  Refused,
  /// No answer.
  Unknown,
};

/// What was ordered of one kind in one data centre.
struct OrderState {
  bool Sent = false;
  bool Pending = false;
  unsigned Count = 0;
  TimePoint SentAt{};
  TimePoint NotBefore{};
};

struct ZoneOrders {
  /// By data centre and whether reclaimable.
  std::map<std::pair<std::string, bool>, OrderState> States;
};

/// Reclaimable servers wanted per data centre, as a part of the bound: the bounds leave room for
/// the loss of a data centre.
inline constexpr double ReclaimablePart = 0.6;
/// Part of the reclaimable servers below which on-demand servers bridge.
inline constexpr double BridgePart = 0.5;

/// Reclaimable servers wanted in each data centre.
unsigned reclaimableTarget(const ZoneTerms &terms);

/// Orders that are due. They count as under way until onOrderResult().
std::vector<ZoneOrder> plan(ZoneOrders &orders, const ZoneTerms &terms,
                            const std::map<std::string, ZoneCount> &counts, const Now &now);

void onOrderResult(ZoneOrders &orders, const ZoneOrder &order, OrderResult result, const Now &now);

} // namespace chervil::fleet

#endif
