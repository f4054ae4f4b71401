// The rollout of one service as the holder of the duty conducts it. Use:
//   Controller c = makeController(order, limits, status, mark, now);
//   send(node, onReport(c, report, inputs, now, rng));
//   for (const Action &it : tick(c, inputs, now)) carryOut(it);   // then onStatusWritten() etc.
// docs/design/rollouts.md has the state machine, the budget and their reasons.
#ifndef CHERVIL_ROLLOUT_CONTROLLER_H
#define CHERVIL_ROLLOUT_CONTROLLER_H

#include "base/Random.h"
#include "base/Time.h"
#include "message/RolloutGrant.h"
#include "message/RolloutReport.h"
#include "rollout/Order.h"
#include "rollout/SequentialTest.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chervil::rollout {

/// Bound on the requests of a bad version, from the settings.
struct ExposureLimits {
  double Share = 0;
  double Slack = 0;
};

enum class State : std::uint8_t {
  Waiting,
  Probing,
  Loading,
  Shifting,
  Closing,
  Completed,
  Reverted,
};
const char *toString(State state);

/// What the holder knows of the world at a tick.
struct Inputs {
  /// The node holds the duty, and the store has answered lately.
  bool MayAct = false;
  std::uint64_t Token = 0;
  /// Requests that the listed servers of the target and of the version in force run at the same
  /// time.
  std::uint64_t TargetSlots = 0;
  std::uint64_t OldSlots = 0;
  std::size_t TargetServers = 0;
  /// Names of the nodes that are up as in their reports, this one included. Only used by tick() in
  /// State::Closing.
  std::vector<std::string> LiveNodes;
};

struct NodeRecord {
  message::RolloutReport Report;
  TimePoint Heard{};
  /// Units granted for that report.
  std::uint64_t Units = 0;
  /// Requests seen since the report before, smoothed.
  double Recent = 0;
};

/// Evidence about one route.
struct RouteTests {
  SequentialTest Failed;
  SequentialTest Slow;
};

struct Controller {
  rollout::Order Order;
  ExposureLimits Limits;
  rollout::State State = State::Waiting;
  TimePoint Entered{};
  /// Units are given out while probing; see BurstUnits.
  bool Bursting = true;
  /// Servers that the load test uses.
  std::uint32_t LoadServers = 1;
  /// What decided the last step.
  std::string Why;
  /// The mark as the store has it; absent until written by this holder or read.
  std::optional<rollout::Mark> Mark;
  bool MarkPending = false;
  bool StatusPending = false;
  /// The store says `active` or a final state for this order.
  bool ActiveWritten = false;
  bool FinalWritten = false;
  WallTime Started{};
  /// When this holder began, or last learned that a node had objected to the completion.
  TimePoint Objected{};
  /// Units that an earlier holder may have granted beyond what nodes have reported to this one.
  std::uint64_t Lost = 0;
  std::map<std::string, NodeRecord> Nodes;
  std::map<std::string, RouteTests> Routes;
  /// The sums over all routes.
  RouteTests AllRoutes;
};

/// Something that the caller has to do.
struct Action {
  enum class Kind : std::uint8_t {
    /// Write the status, conditional on the order and on the status that was read.
    WriteStatus,
    /// Write the mark, conditional on the mark that was read.
    WriteMark,
    /// Log the event rollout_step.
    Step,
  };
  Kind Type = Kind::Step;
  StatusState Status = StatusState::Active;
  rollout::Mark Mark;
  State From = State::Waiting;
  State To = State::Waiting;
  std::string Why;
};

/// Begins or resumes a rollout from what the store says.
Controller makeController(const Order &order, const ExposureLimits &limits,
                          const std::optional<Status> &status, const std::optional<Mark> &mark,
                          const Now &now);

/// Handles the report of a node and returns the grant for it.
message::RolloutGrant onReport(Controller &c, const message::RolloutReport &report,
                               const Inputs &in, const Now &now, Random &rng);

/// The notice of the order, for nodes that have not reported lately.
message::RolloutGrant makeNotice(const Controller &c, const Inputs &in);

/// Takes the steps that are due.
std::vector<Action> tick(Controller &c, const Inputs &in, const Now &now);

/// Handles the result of a write; `written` is false if it failed or its condition did not hold.
void onStatusWritten(Controller &c, StatusState state, bool written);
void onMarkWritten(Controller &c, const Mark &mark, bool written);

/// Handles the status as the store has it: another holder may have ended the rollout.
void onStatusRead(Controller &c, const std::optional<Status> &status);

/// Handles an objection: a node that does not hear from this holder may use the old servers.
void onObjection(Controller &c, const Now &now);

/// True while the rollout is closing and the holder does not know where some node sends its
/// requests.
bool lacksReports(const Controller &c, const Inputs &in, const Now &now);

/// Requests that may have reached the target, and those seen, over all nodes.
std::uint64_t exposedRequests(const Controller &c);
std::uint64_t seenRequests(const Controller &c);

} // namespace chervil::rollout

#endif
