// What a node keeps of rollouts besides the decisions of package relay: the orders that it has read
// in the store, and, while it holds the duty, the rollouts that it conducts. EdgeRollouts.cpp and
// EdgeRolloutHolder.cpp use it.
#ifndef CHERVIL_DAEMON_EDGE_ROLLOUTSTATE_H
#define CHERVIL_DAEMON_EDGE_ROLLOUTSTATE_H

#include "base/Time.h"
#include "message/RolloutReport.h"
#include "rollout/Controller.h"
#include "rollout/Order.h"
#include "store/Item.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chervil::daemon {

/// An item of the store that the holder replaces.
struct HolderItem {
  /// The item was read or written, and no write has been without an answer since.
  bool IsKnown = false;
  /// A call about it is under way.
  bool IsBusy = false;
  /// 0 if the item does not exist.
  std::uint64_t Revision = 0;
  /// No call before this time.
  TimePoint NextCall{};
};

/// How a node that lacks contact to the holder follows a rollout in the store.
struct ContactCheck {
  bool IsBusy = false;
  TimePoint NextCall{};
  /// Revision of the status when this node last found that there was an objection; 0 before.
  std::uint64_t Revision = 0;
  /// Revision of the status that this node could not replace although nobody else had; 0 if none.
  std::uint64_t Refused = 0;
  /// Revision of the order that has gone from the store; 0 if none has. Nobody can complete it.
  std::uint64_t GoneOrder = 0;
};

/// The rollout of one service as the holder of the duty conducts it.
struct ConductedRollout {
  /// Tells it from other rollouts of the service, to which answers of the store may belong.
  std::uint64_t Id = 0;
  rollout::Order Order;
  /// Absent until status and mark have been read.
  std::optional<rollout::Controller> Controller;
  TimePoint Begun{};
  HolderItem StatusItem;
  HolderItem MarkItem;
  /// Readings of the status for objections of other nodes.
  HolderItem ObjectionCheck;
  /// Values as last read.
  std::optional<rollout::Status> Status;
  std::optional<rollout::Mark> Mark;
  /// Values of the writes that are under way or have no answer.
  std::optional<rollout::StatusState> WrittenStatus;
  std::optional<rollout::Mark> WrittenMark;
  /// When each node was last sent a notice, by its name with its start, and the end that it named.
  std::map<std::string, TimePoint> Notified;
  std::optional<std::uint32_t> NotifiedEnd;
  TimePoint EndedAt{};
};

struct RolloutState {
  /// Orders in the store, by service.
  std::map<std::string, rollout::Order> Orders;
  /// Where each order was last read, by key.
  std::map<std::string, store::Position> Read;
  /// Latest order that was passed on to other nodes, by service.
  std::map<std::string, std::uint64_t> Forwarded;
  /// By service; empty unless this node holds the duty.
  std::map<std::string, ConductedRollout> Conducted;
  /// Fencing token under which they are conducted.
  std::uint64_t Token = 0;
  std::uint64_t NextId = 1;
  TimePoint NextReport{};
  /// By service, while the node lacks contact to the holder.
  std::map<std::string, ContactCheck> ContactChecks;
  /// Last report by service, for the counters of responses.
  std::map<std::string, message::RolloutReport> Counted;
};

} // namespace chervil::daemon

#endif
