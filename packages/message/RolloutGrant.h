// From the holder of the duty to a node: answer to a RolloutReport, or, with number 0, the notice
// of an order, after which the node reports.
#ifndef CHERVIL_MESSAGE_ROLLOUTGRANT_H
#define CHERVIL_MESSAGE_ROLLOUTGRANT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Part of the requests of one route that goes to the target, in thousandths.
struct RolloutRouteShare {
  std::string Route;
  std::uint32_t Permille = 0;
};

struct RolloutGrant {
  std::string Service;
  std::string Target;
  /// Revision of the order in the store.
  std::uint64_t Order = 0;
  /// Fencing token of the holder; grants of earlier holders are ignored.
  std::uint64_t Token = 0;
  /// Number of the report that is answered; 0 for a notice.
  std::uint64_t Seq = 0;
  /// Number of the report that the holder has heard, whether it grants anything or not; 0 for a
  /// notice.
  std::uint64_t Heard = 0;
  /// Requests that may be sent to the target before the next report. Without a meaning if Bounded
  /// is false.
  std::uint32_t Units = 0;
  bool Bounded = true;
  /// Part of the requests of other routes than those in Routes that goes to the target, in
  /// thousandths.
  std::uint32_t SharePermille = 0;
  std::vector<RolloutRouteShare> Routes;
  /// The requests go to this number of the target's servers, the first in rank for the order; 0 for
  /// all. Few requests can thus load a server as all of them will.
  std::uint32_t Servers = 0;
  /// Nothing goes to the old servers any more; the node reports what is left there.
  bool Closing = false;
  /// The order has ended: 0 no, 1 completed, 2 reverted.
  std::uint32_t Ended = 0;
};

} // namespace chervil::message

#endif
