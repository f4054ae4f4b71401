// What every node does for rollouts: orders that are read in the store, and the reports to the
// holder of the duty. docs/design/rollouts-and-proofs.md has the rules.
#include "daemon/edge/DutyDetail.h"

#include "platform/RolloutDocument.h"

#include <algorithm>
#include <utility>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// The holder gets at most 600 reports a second of a fleet of 300.
constexpr Duration LeastReportPeriod = 100ms;
constexpr Duration ReportPeriodPerNode = 5ms;
constexpr Duration MostReportPeriod = 500ms;

// Longest time from a bad response to the last request at its version: it is reported within 0.5 s
// and judged with a window of up to 2 s, and a node that then hears nothing goes on for 2 s.
constexpr Duration LongestRollback = 4500ms;

/// Passes an order on to other nodes once.
void forwardOrder(Edge &edge, const message::RolloutGrant &notice) {
  // Two orders on their way at the same time must not replace each other again and again.
  std::uint64_t &latest = edge.Rollouts.Forwarded[notice.Service];
  if (notice.Order <= latest)
    return;
  latest = notice.Order;
  spread(edge, notice);
}

void onNewOrder(Edge &edge, const rollout::Order &order) {
  logLine(edge, "rollout", "order",
          {{"service", order.Service},
           {"target", order.Target},
           {"revision", std::to_string(order.Revision)},
           {"time_ms", std::to_string(order.Time.count())}});
  message::RolloutGrant notice;
  notice.Service = order.Service;
  notice.Target = order.Target;
  notice.Order = order.Revision;
  handle(edge, [&edge, notice](relay::Effects &out, const Now &now) {
    relay::onRolloutGrant(edge.Relay, notice, out, now);
  });
  forwardOrder(edge, notice);
}

/// Counts the responses that were added since the report before.
void countResponses(Edge &edge, const message::RolloutReport &report) {
  message::RolloutReport &last = edge.Rollouts.Counted[report.Service];
  if (last.Order != report.Order)
    last = {};
  for (const message::RolloutCounts &it : report.Counts) {
    const auto before = std::ranges::find_if(last.Counts, [&](const message::RolloutCounts &known) {
      return known.Route == it.Route && known.Target == it.Target;
    });
    const message::RolloutCounts known =
        before == last.Counts.end() ? message::RolloutCounts{} : *before;
    const std::string kind = it.Target ? "target_" : "old_";
    const auto add = [&](const char *quality, std::uint64_t now, std::uint64_t then) {
      // Evidence that is withdrawn makes the difference negative.
      if (now > then)
        count(edge.Counters, "rollout_responses", kind + quality, static_cast<double>(now - then));
    };
    add("good", it.Answers - it.Failed - it.Slow, known.Answers - known.Failed - known.Slow);
    add("failed", it.Failed, known.Failed);
    add("slow", it.Slow, known.Slow);
  }
  last = report;
}

void sendReport(Edge &edge, const message::RolloutReport &report, bool held) {
  countResponses(edge, report);
  if (!held) {
    net::send(*edge.Peers, edge.Holder.PeerAddress, report);
    return;
  }
  if (const auto grant = answerRolloutReport(edge, report))
    onRolloutGrant(edge, *grant);
}

} // namespace

void onRolloutOrders(Edge &edge) {
  if (!edge.Relay.Settings.Rollouts)
    return;
  RolloutState &state = edge.Rollouts;
  const auto &items = edge.OperatorItems.Items;
  state.Orders.clear();
  std::erase_if(state.Read, [&](const auto &it) { return !items.contains(it.first); });
  for (auto it = items.lower_bound(adapter::RolloutOrderPrefix);
       it != items.end() && it->first.starts_with(adapter::RolloutOrderPrefix); ++it) {
    const store::Position position{edge.StoreEra, it->second.Revision};
    const bool isNew = std::exchange(state.Read[it->first], position) != position;
    const auto order = adapter::parseRolloutOrder(it->second);
    if (order)
      state.Orders[order->Service] = *order;
    if (!isNew)
      continue;
    if (order) {
      onNewOrder(edge, *order);
      continue;
    }
    count(edge.Counters, "bad_rollout_order", "unreadable");
    logLine(edge, "rollout", "bad_order", {{"key", it->first}, {"error", order.error().Message}});
  }
}

void onRolloutGrant(Edge &edge, const message::RolloutGrant &grant) {
  handle(edge, [&edge, grant](relay::Effects &out, const Now &now) {
    const bool isNew = relay::onRolloutGrant(edge.Relay, grant, out, now);
    if (isNew && grant.Token == 0)
      forwardOrder(edge, grant);
  });
}

void tickRolloutReports(Edge &edge) {
  const Now now = net::readNow();
  if (edge.Stopping || edge.Relay.Rollouts.empty() || now.Steady < edge.Rollouts.NextReport)
    return;
  const bool held = duty::isHeld(edge.Lease, now);
  if (!held &&
      (edge.Holder.Token == 0 || edge.Holder.PeerAddress == edge.Settings.Node.PeerAdvertise))
    return;
  const Duration period =
      LeastReportPeriod + ReportPeriodPerNode * static_cast<std::int64_t>(edge.Relay.LiveNodes);
  edge.Rollouts.NextReport = now.Steady + std::min(period, MostReportPeriod);
  for (const auto &it : relay::buildRolloutReports(edge.Relay, selfKey(edge), now))
    sendReport(edge, it, held);
}

void checkRolloutSettings(Edge &edge) {
  const auto time = edge.Settings.Edge.RollbackTime;
  if (edge.Relay.Settings.Rollouts && time < LongestRollback)
    logLine(edge, "rollout", "rollback_time_short",
            {{"rollback_time_ms", std::to_string(time.count())},
             {"may_need_ms", std::to_string(LongestRollback / 1ms)}});
}

void onRolloutsRestored(Edge &edge) {
  edge.Rollouts.Orders.clear();
  edge.Rollouts.Forwarded.clear();
  edge.Rollouts.Conducted.clear();
  edge.Rollouts.ContactChecks.clear();
}

} // namespace chervil::daemon::detail
