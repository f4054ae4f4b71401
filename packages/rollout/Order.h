// An operator's order to move a service to another version, and the status that the holder of the
// duty writes. Filled by the parse functions of the adapter. Use:
//   if (isFinal(order, status)) ...
#ifndef CHERVIL_ROLLOUT_ORDER_H
#define CHERVIL_ROLLOUT_ORDER_H

#include "base/Time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace chervil::rollout {

struct Order {
  std::string Service;
  std::string Target;
  std::chrono::milliseconds Time{0};
  /// Revision of the order in the store.
  std::uint64_t Revision = 0;
};

enum class StatusState : std::uint8_t { Active, Completed, Reverted };

struct Status {
  StatusState State = StatusState::Active;
  std::string Target;
  /// Revision of the status in the store.
  std::uint64_t Revision = 0;
};

/// What a new holder cannot learn from the nodes, as the holder leaves it in the store.
struct Mark {
  /// Revision of the order that it is about.
  std::uint64_t Order = 0;
  /// When the order was first seen.
  WallTime Started{};
  /// Largest number of units that may have been granted.
  std::uint64_t Granted = 0;
};

/// The status belongs to the order: an earlier order may have named the same target.
inline bool isAbout(const Status &status, const Order &order) {
  return status.Revision > order.Revision && status.Target == order.Target;
}

inline bool isFinal(const Order &order, const std::optional<Status> &status) {
  return status && isAbout(*status, order) && status->State != StatusState::Active;
}

} // namespace chervil::rollout

#endif
