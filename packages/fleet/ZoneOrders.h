// Decides how many backend servers of one service to order in each data centre, for platforms that
// take orders as server counts per data centre and kind. Usage by the holder of the duty, every
// half second:
//   for (const ZoneOrder &it : planOrders(orders, terms, counts, now)) send(it);
//   onOrderResult(orders, it, OrderResult::Accepted, now);
// Handles reclaims of whole data centres, after which new capacity there is refused for many
// seconds. The fleet consists of reclaimable servers, enough of them that the loss of one data
// centre leaves the number needed. On-demand servers replace missing ones temporarily, and after a
// reclaim also those that the next reclaim would remove. Pure: performs no I/O.
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

/// Terms of one service, its prices and its load.
struct ZoneTerms {
  /// Bounds of the number of servers of both kinds together, per data centre.
  unsigned Min = 0;
  unsigned Max = 0;
  /// Price of a reclaimable server as a fraction of the price of an on-demand server; 0 if there
  /// are no reclaimable servers.
  double ReclaimablePrice = 0;
  /// Time from an order until the server serves.
  std::chrono::milliseconds BootTime{0};
  /// Relative price by data centre.
  std::map<std::string, double> Prices;
  /// Upper bound of the reclaimable servers in each data centre, as a fraction of Max.
  double ReclaimableFraction = 0.75;
  /// Number of servers needed before the load was measured, as a fraction of Max summed over all
  /// data centres.
  double NeededFraction = 0.35;
  /// Number of servers that the current load would keep busy all the time; absent until it was
  /// measured.
  std::optional<double> BusyServers;
};

/// Number of servers in a data centre that serve and are not leaving.
struct ZoneCount {
  unsigned Reclaimable = 0;
  unsigned OnDemand = 0;
};

/// An order: the data centre shall have Count servers of one kind.
struct ZoneOrder {
  std::string DataCentre;
  bool Reclaimable = false;
  unsigned Count = 0;
};

/// The answer to an order.
enum class OrderResult : std::uint8_t {
  Accepted,
  /// No capacity is available there now.
  Refused,
  /// There was no answer.
  Unknown,
};

/// State of the orders of one kind in one data centre.
struct OrderState {
  /// Count was ordered and not refused.
  bool Sent = false;
  /// The order has no result yet.
  bool Pending = false;
  /// The last order was refused.
  bool Refused = false;
  unsigned Count = 0;
  TimePoint SentAt{};
  /// No order is sent before this time.
  TimePoint NotBefore{};
};

/// State of the orders of one service.
struct ZoneOrders {
  /// Keyed by data centre and whether reclaimable.
  std::map<std::pair<std::string, bool>, OrderState> States;
  /// Number of serving reclaimable servers when last observed, by data centre, and the time when it
  /// last decreased, which is taken as a reclaim.
  std::map<std::string, unsigned> LastReclaimable;
  std::optional<TimePoint> LastReclaim;
  /// Number of servers of both kinds that counts as needed, and when it was last set or confirmed.
  unsigned Needed = 0;
  TimePoint NeededUpdatedAt{};
  /// The need that the reclaimable servers are kept for, when it was last set, and whether it rests
  /// on a measurement.
  unsigned ReservedNeed = 0;
  TimePoint ReservedNeedAt{};
  bool IsReservedNeedMeasured = false;
};

/// Time after a reclaim during which another data centre is expected to be reclaimed. Reclaims come
/// in waves, with less time between them than a server needs to start.
inline constexpr Duration ReclaimWaveDuration = std::chrono::seconds(20);

/// Target fraction of time that servers are busy reading prompts. Of 0.36, 0.5, 0.55, 0.6, 0.75 and
/// 0.8, this value gave the best total over quiet and heavy days of two installations. With lower
/// values, the additional servers gain less than they cost; with higher values, a wave of reclaims
/// leaves too few servers on heavy days.
inline constexpr double TargetUtilisation = 0.55;
/// Servers are released only after the load has not needed them for this long, because a released
/// server loses the prompts that it has read, and a new one takes seconds to start.
inline constexpr Duration ScaleDownDelay = std::chrono::seconds(10);
/// Reclaimable servers are released only after this long, and not while a wave of reclaims is
/// expected: they are cheap, and while servers are being reclaimed no others can be had.
inline constexpr Duration ReclaimableReleaseDelay = std::chrono::seconds(60);
/// Minimum number of needed servers, as a fraction of Max summed over all data centres.
inline constexpr double MinNeededFraction = 0.15;

/// Number of data centres whose reclaimable servers may be missing at the same time without falling
/// below the number of needed servers: the next data centre of a wave is reclaimed before the first
/// has been refilled.
inline constexpr unsigned LostZones = 2;
/// Additional reclaimable servers in each data centre, for a third reclaim before the on-demand
/// servers that replace the first two have booted.
inline constexpr unsigned SpareServers = 1;

/// Target number of reclaimable servers in each data centre: SpareServers more than leave `needed`
/// servers in the other data centres while LostZones are reclaimed, within the bounds.
unsigned reclaimableTarget(const ZoneTerms &terms, unsigned needed);
/// Number of servers of both kinds that the load needs over all data centres.
unsigned neededServers(const ZoneTerms &terms);

/// Returns the orders that are due, which are pending until onOrderResult(). Returns none if there
/// are no reclaimable servers or if they are not cheaper.
std::vector<ZoneOrder> planOrders(ZoneOrders &orders, const ZoneTerms &terms,
                                  const std::map<std::string, ZoneCount> &counts, const Now &now);

/// Records the result of a pending order. Orders that were not accepted are retried after a delay.
void onOrderResult(ZoneOrders &orders, const ZoneOrder &order, OrderResult result, const Now &now);

} // namespace chervil::fleet

#endif
