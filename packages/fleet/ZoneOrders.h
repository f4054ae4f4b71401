// How many backend servers of one service to order in each data centre, where the platform takes
// orders as counts per data centre and kind. Use, as the holder of the duty, every half second:
//   for (const ZoneOrder &it : plan(orders, terms, counts, now)) send(it);
//   onOrderResult(orders, it, OrderResult::Accepted, now);
// Answers reclaims of whole data centres while their capacity is refused for many seconds: the
// fleet is made of reclaimable servers, with enough of them that the loss of one data centre leaves
// what is needed. On-demand servers bridge what is missing, and after a reclaim also what the next
// one would take. Pure.
#ifndef CHERVIL_FLEET_ZONEORDERS_H
#define CHERVIL_FLEET_ZONEORDERS_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
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
  /// Reclaimable servers wanted in each data centre, as a part of Max.
  double ReclaimableFraction = 0.75;
  /// Servers that the load needs, as a part of Max over all data centres, until it was measured.
  double NeededFraction = 0.35;
  /// Servers that the present load would keep busy all the time, if it was measured.
  std::optional<double> BusyServers;
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
  /// The last order was refused.
  bool Refused = false;
  unsigned Count = 0;
  TimePoint SentAt{};
  TimePoint NotBefore{};
};

struct ZoneOrders {
  /// By data centre and whether reclaimable.
  std::map<std::pair<std::string, bool>, OrderState> States;
  /// Reclaimable servers seen last, by data centre, and the last time some of them were reclaimed.
  std::map<std::string, unsigned> LastReclaimable;
  std::optional<TimePoint> LastReclaim;
  /// Servers of both kinds taken as needed, and since when the load has not asked for as many.
  unsigned Needed = 0;
  TimePoint NeededUpdatedAt{};
};

/// Time after a reclaim in which another data centre is expected to be reclaimed: reclaims come in
/// waves, faster than servers start.
inline constexpr Duration ReclaimWaveDuration = std::chrono::seconds(20);

/// Part of the time that servers may be busy reading prompts. Of 0.36, 0.5, 0.55, 0.6, 0.75 and 0.8
/// the sum over quiet and heavy days of two installations was best here; more servers gain less
/// than they cost, and with fewer a wave of reclaims leaves too few on heavy days.
inline constexpr double TargetUtilisation = 0.55;
/// Servers are given up only after the load has not needed them for this long: each loses the
/// prompts that it has read, and a new one takes seconds to start.
inline constexpr Duration ScaleDownDelay = std::chrono::seconds(10);
/// Least number of servers that are kept, as a part of Max over all data centres.
inline constexpr double MinNeededFraction = 0.15;

/// Reclaimable servers wanted in each data centre.
unsigned reclaimableTarget(const ZoneTerms &terms);
/// Servers of both kinds that the load needs over all data centres.
unsigned neededServers(const ZoneTerms &terms);

/// Orders that are due. They count as under way until onOrderResult().
std::vector<ZoneOrder> planOrders(ZoneOrders &orders, const ZoneTerms &terms,
                                  const std::map<std::string, ZoneCount> &counts, const Now &now);

void onOrderResult(ZoneOrders &orders, const ZoneOrder &order, OrderResult result, const Now &now);

} // namespace chervil::fleet

#endif
