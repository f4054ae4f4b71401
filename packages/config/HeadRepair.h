// Raises a head that lags because a writer stopped between its two writes. Run by the holder of
// duty/shards. Use:
//   std::optional<RepairEffect> e = checkHead(repair, store, now);   // every second
//   std::optional<RepairEffect> e = onRepairAnswer(repair, store, answer);
#ifndef CHERVIL_CONFIG_HEADREPAIR_H
#define CHERVIL_CONFIG_HEADREPAIR_H

#include "config/Head.h"
#include "config/KeyValueCalls.h"
#include "config/Store.h"

namespace chervil::config {

/// A head that lags for less is left to its writer. Writers need two calls between their writes,
/// which take under 1 s unless the key-value service is slow.
inline constexpr Duration RepairDelay = std::chrono::seconds(2);
/// An unanswered call is given up after this long.
inline constexpr Duration RepairTimeout = std::chrono::seconds(5);

struct HeadRepair {
  /// Contract documents ahead of the head, and since when.
  std::map<std::string, TimePoint> LaggingSince;
  std::uint64_t Call = 0;
  bool CallPending = false;
  TimePoint CallStartedAt{};
};

using RepairEffect = std::variant<ReadKey, CompareAndSwap>;

/// Starts a repair when the node's documents show a head that has lagged for RepairDelay.
std::optional<RepairEffect> checkHead(HeadRepair &repair, const Store &store, const Now &now);

/// The write after a read. Nothing when the stored head does not lag, or after a write, whatever
/// its answer: the next checkHead starts again if the head still lags.
std::optional<RepairEffect> onRepairAnswer(HeadRepair &repair, const Store &store,
                                           const KeyValueAnswer &answer);

} // namespace chervil::config

#endif
