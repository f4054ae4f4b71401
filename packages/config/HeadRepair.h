// Raises a head that lags behind the contract documents because a writer stopped after it wrote the
// document and before it wrote the head. Run by the holder of duty/shards. Use:
//   std::optional<RepairEffect> e = checkHead(repair, store, now);   // every second
//   std::optional<RepairEffect> e = onRepairAnswer(repair, store, answer);
#ifndef CHERVIL_CONFIG_HEADREPAIR_H
#define CHERVIL_CONFIG_HEADREPAIR_H

#include "config/Head.h"
#include "config/KeyValueCalls.h"
#include "config/Store.h"

namespace chervil::config {

/// A head is repaired only after it has lagged for this long, to leave it to its writer. A writer
/// makes two calls between its two writes, which take less than 1 s unless the key-value service is
/// slow.
inline constexpr Duration RepairDelay = std::chrono::seconds(2);
/// A call that is not answered within this time counts as lost.
inline constexpr Duration RepairTimeout = std::chrono::seconds(5);

/// State of the repair on one node.
struct HeadRepair {
  /// By customer: since when the contract document has been newer than the head.
  std::map<std::string, TimePoint> LaggingSince;
  /// Number of the latest call.
  std::uint64_t Call = 0;
  /// True while the latest call is not answered.
  bool CallPending = false;
  TimePoint CallStartedAt{};
};

/// The next call to the key-value service.
using RepairEffect = std::variant<ReadKey, CompareAndSwap>;

/// Starts a repair if the head in `store` has lagged behind a contract document for RepairDelay.
/// Returns nullopt if no repair is needed or a call is pending.
std::optional<RepairEffect> checkHead(HeadRepair &repair, const Store &store, const Now &now);

/// Returns the write that follows a read. Returns nullopt if the stored head does not lag, and
/// after every write: checkHead() starts again if the head still lags.
std::optional<RepairEffect> onRepairAnswer(HeadRepair &repair, const Store &store,
                                           const KeyValueAnswer &answer);

} // namespace chervil::config

#endif
