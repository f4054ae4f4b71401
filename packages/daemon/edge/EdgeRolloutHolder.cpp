// Rollouts as the holder of the duty conducts them: package rollout decides, this reads and writes
// status and mark in the store and tells the other nodes.
#include "daemon/edge/DutyDetail.h"

#include "platform/RolloutDocument.h"

#include <algorithm>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// No step is taken and nothing is granted if the store has not answered for this long.
constexpr Duration MaxStoreSilence = 2s;
// Delay after a failed or refused call.
constexpr Duration RetryDelay = 300ms;
// A node that has not reported for this long may not know of the order.
constexpr Duration SilentReporter = 1s;
// A node that has started meanwhile is told at once.
constexpr Duration NoticePeriod = 500ms;
// Notices of an end are repeated often for a while, as they may be lost, and seldom afterwards.
constexpr Duration FreshEnd = 5s;
constexpr Duration EndNoticePeriod = 5s;

// Between readings of the status for objections. The wait for them begins anew with each, so that
// one that is found late holds the rollout back.
constexpr Duration ObjectionCheckPeriod = 500ms;
// The nodes objected while there was no holder, until it has answered their reports.
constexpr Duration TakeOverTime = 2s;

// All nodes that know of an order report within this time.
constexpr Duration ReportsTime = 600ms;

ConductedRollout *findRollout(Edge &edge, const std::string &service, std::uint64_t id) {
  const auto it = edge.Rollouts.Conducted.find(service);
  return it == edge.Rollouts.Conducted.end() || it->second.Id != id ? nullptr : &it->second;
}

bool mayAct(const Edge &edge, const Now &now) {
  return duty::isHeld(edge.Lease, now) && now.Steady - edge.Lease.ConfirmedAt <= MaxStoreSilence &&
         isConnected(edge.ServerItems, now) && store::isComplete(edge.ServerItems);
}

rollout::Inputs inputsOf(const Edge &edge, const rollout::Order &order, const Now &now) {
  const auto capacity = relay::capacityOf(edge.Relay, order.Service, order.Target);
  return {.MayAct = mayAct(edge, now),
          .Token = edge.Lease.FencingToken,
          .TargetSlots = capacity.TargetSlots,
          .OldSlots = capacity.OldSlots,
          .TargetServers = capacity.TargetServers,
          .LiveNodes = {}};
}

void noteFailure(Edge &edge, HolderItem &item) {
  item.IsKnown = false;
  item.NextCall = net::readNow().Steady + RetryDelay;
  count(edge.Counters, "store_failed", "rollout");
}

/// A call about an item of a rollout. `onAnswer` is not called if the rollout has been dropped.
void callAbout(Edge &edge, ConductedRollout &conducted, HolderItem ConductedRollout::*item,
               http::Call what,
               void (*onAnswer)(Edge &edge, ConductedRollout &conducted, const PlatformAnswer &)) {
  (conducted.*item).IsBusy = true;
  count(edge.Counters, "store_calls", "rollout");
  callPlatform(edge, std::move(what),
               [&edge, service = conducted.Order.Service, id = conducted.Id, item,
                onAnswer](const PlatformAnswer &answer) {
                 ConductedRollout *it = findRollout(edge, service, id);
                 if (it == nullptr)
                   return;
                 (it->*item).IsBusy = false;
                 onAnswer(edge, *it, answer);
               });
}

/// Notes what was read; the value is absent if there is none or if it cannot be read.
template <typename T>
bool takeItem(Edge &edge, HolderItem &item, std::optional<T> &value, const PlatformAnswer &answer,
              Result<T> (*parse)(const store::Item &)) {
  const auto read = answer.Status == 200 ? adapter::readItem(answer.Body) : std::nullopt;
  if (!read && answer.Status != adapter::NotFoundStatus) {
    noteFailure(edge, item);
    return false;
  }
  value.reset();
  item.IsKnown = true;
  item.Revision = read ? read->Revision : 0;
  if (!read)
    return true;
  if (const auto parsed = parse(*read))
    value = *parsed;
  else
    logLine(edge, "rollout", "bad_item", {{"key", read->Key}, {"error", parsed.error().Message}});
  return true;
}

/// A status that was written again without another state is an objection (EdgeRolloutContact.cpp).
void noteObjection(Edge &edge, ConductedRollout &conducted) {
  onObjection(*conducted.Controller, net::readNow());
  count(edge.Counters, "rollout_objection", "heard");
  logLine(edge, "rollout", "rollout_objection_heard",
          {{"service", conducted.Order.Service},
           {"target", conducted.Order.Target},
           {"state", toString(conducted.Controller->State)},
           {"status_revision", std::to_string(conducted.StatusItem.Revision)}});
}

void onStatusItem(Edge &edge, ConductedRollout &conducted, const PlatformAnswer &answer) {
  const std::uint64_t before = conducted.StatusItem.Revision;
  if (!takeItem(edge, conducted.StatusItem, conducted.Status, answer,
                adapter::parseRolloutStatus) ||
      !conducted.Controller)
    return;
  const auto &status = conducted.Status;
  if (status && status->State == rollout::StatusState::Active &&
      conducted.StatusItem.Revision != before)
    noteObjection(edge, conducted);
  // The write whose answer was lost has taken effect if the status says so.
  if (conducted.WrittenStatus)
    onStatusWritten(*conducted.Controller, *conducted.WrittenStatus,
                    status && isAbout(*status, conducted.Order) &&
                        status->State == *conducted.WrittenStatus);
  conducted.WrittenStatus.reset();
  onStatusRead(*conducted.Controller, status);
}

void onObjectionCheck(Edge &edge, ConductedRollout &conducted, const PlatformAnswer &answer) {
  const auto read = answer.Status == 200 ? adapter::readItem(answer.Body) : std::nullopt;
  const auto status = read ? std::optional(adapter::parseRolloutStatus(*read)) : std::nullopt;
  // A write that is under way finds out by its condition.
  if (!status || !*status || (*status)->State != rollout::StatusState::Active ||
      !conducted.StatusItem.IsKnown || conducted.StatusItem.IsBusy ||
      read->Revision == conducted.StatusItem.Revision)
    return;
  conducted.StatusItem.Revision = read->Revision;
  noteObjection(edge, conducted);
}

void onMarkItem(Edge &edge, ConductedRollout &conducted, const PlatformAnswer &answer) {
  if (!takeItem(edge, conducted.MarkItem, conducted.Mark, answer, adapter::parseRolloutMark) ||
      !conducted.Controller || !conducted.WrittenMark)
    return;
  const auto &mark = conducted.Mark;
  const bool isCurrent = mark && mark->Order == conducted.Order.Revision;
  onMarkWritten(*conducted.Controller, isCurrent ? *mark : *conducted.WrittenMark, isCurrent);
  conducted.WrittenMark.reset();
}

/// Returns true if a write has taken effect; the item is read again otherwise.
bool takeWritten(Edge &edge, HolderItem &item, const PlatformAnswer &answer) {
  const auto revision = answer.Status == 200 ? adapter::readRevision(answer.Body) : std::nullopt;
  if (!revision) {
    noteFailure(edge, item);
    return false;
  }
  item.Revision = *revision;
  return true;
}

void onStatusWriteAnswer(Edge &edge, ConductedRollout &conducted, const PlatformAnswer &answer) {
  if (!takeWritten(edge, conducted.StatusItem, answer))
    return;
  onStatusWritten(*conducted.Controller, *conducted.WrittenStatus, true);
  conducted.WrittenStatus.reset();
}

void onMarkWriteAnswer(Edge &edge, ConductedRollout &conducted, const PlatformAnswer &answer) {
  if (!takeWritten(edge, conducted.MarkItem, answer))
    return;
  onMarkWritten(*conducted.Controller, *conducted.WrittenMark, true);
  conducted.WrittenMark.reset();
}

http::Call writeItem(const Edge &edge, const ConductedRollout &conducted, const HolderItem &item,
                     const std::string &key, std::string value) {
  adapter::ConditionalWrite write;
  write.Conditions = {{HolderKey, edge.Lease.KeyRevision},
                      {adapter::rolloutOrderKey(conducted.Order.Service), conducted.Order.Revision},
                      {key, item.Revision}};
  write.Writes = {{.Key = key, .Value = std::move(value)}};
  return adapter::writeCall(edge.Settings.Edge.StoreAddress, write);
}

void logStep(Edge &edge, const rollout::Controller &c, const rollout::Action &action) {
  count(edge.Counters, "rollout_step", toString(action.To));
  logLine(edge, "rollout", "rollout_step",
          {{"service", c.Order.Service},
           {"target", c.Order.Target},
           {"from", toString(action.From)},
           {"to", toString(action.To)},
           {"why", action.Why},
           {"exposed", std::to_string(exposedRequests(c))},
           {"seen", std::to_string(seenRequests(c))},
           {"token", std::to_string(edge.Lease.FencingToken)}});
}

void carryOut(Edge &edge, ConductedRollout &conducted, const rollout::Action &action) {
  const std::string &service = conducted.Order.Service;
  switch (action.Type) {
  case rollout::Action::Kind::Step:
    logStep(edge, *conducted.Controller, action);
    break;
  case rollout::Action::Kind::WriteStatus:
    conducted.WrittenStatus = action.Status;
    callAbout(edge, conducted, &ConductedRollout::StatusItem,
              writeItem(edge, conducted, conducted.StatusItem, adapter::rolloutStatusKey(service),
                        adapter::formatRolloutStatus(action.Status, conducted.Order.Target)),
              onStatusWriteAnswer);
    break;
  case rollout::Action::Kind::WriteMark:
    conducted.WrittenMark = action.Mark;
    callAbout(edge, conducted, &ConductedRollout::MarkItem,
              writeItem(edge, conducted, conducted.MarkItem, adapter::rolloutMarkKey(service),
                        adapter::formatRolloutMark(action.Mark)),
              onMarkWriteAnswer);
    break;
  }
}

void readItems(Edge &edge, ConductedRollout &conducted, const Now &now) {
  const std::string &service = conducted.Order.Service;
  const auto isDue = [&](const HolderItem &item) {
    return !item.IsKnown && !item.IsBusy && now.Steady >= item.NextCall;
  };
  if (isDue(conducted.StatusItem))
    callAbout(
        edge, conducted, &ConductedRollout::StatusItem,
        adapter::itemCall(edge.Settings.Edge.StoreAddress, adapter::rolloutStatusKey(service)),
        onStatusItem);
  if (isDue(conducted.MarkItem))
    callAbout(edge, conducted, &ConductedRollout::MarkItem,
              adapter::itemCall(edge.Settings.Edge.StoreAddress, adapter::rolloutMarkKey(service)),
              onMarkItem);
}

/// Tells nodes of the order or of its end that may not know of it.
void notifyNodes(Edge &edge, ConductedRollout &conducted, const Now &now) {
  const rollout::Controller &c = *conducted.Controller;
  const message::RolloutGrant notice = makeNotice(c, inputsOf(edge, conducted.Order, now));
  if (notice.Ended != conducted.NotifiedEnd) {
    conducted.Notified.clear();
    conducted.NotifiedEnd = notice.Ended;
    conducted.EndedAt = now.Steady;
    // This node reports to itself, but only while it knows the order as open.
    onRolloutGrant(edge, notice);
  }
  const bool hasEnded = notice.Ended != 0;
  const Duration period =
      hasEnded && now.Steady - conducted.EndedAt > FreshEnd ? EndNoticePeriod : NoticePeriod;
  std::erase_if(conducted.Notified,
                [&](const auto &it) { return now.Steady - it.second >= period; });
  for (const NodeId &it : otherMembers(edge)) {
    const std::string node = nodeKey(it);
    const auto known = c.Nodes.find(node);
    const bool reports =
        known != c.Nodes.end() && now.Steady - known->second.Heard <= SilentReporter;
    if ((!hasEnded && reports) || !conducted.Notified.emplace(node, now.Steady).second)
      continue;
    sendTo(edge, it, notice);
  }
}

void checkObjections(Edge &edge, ConductedRollout &conducted, const Now &now) {
  HolderItem &check = conducted.ObjectionCheck;
  if (check.IsBusy || now.Steady < check.NextCall)
    return;
  check.NextCall = now.Steady + ObjectionCheckPeriod;
  callAbout(edge, conducted, &ConductedRollout::ObjectionCheck,
            adapter::itemCall(edge.Settings.Edge.StoreAddress,
                              adapter::rolloutStatusKey(conducted.Order.Service)),
            onObjectionCheck);
}

std::vector<std::string> liveNodes(const Edge &edge) {
  std::vector<std::string> out{selfKey(edge)};
  for (const NodeId &it : otherMembers(edge))
    out.push_back(nodeKey(it));
  return out;
}

void conduct(Edge &edge, ConductedRollout &conducted, const Now &now) {
  readItems(edge, conducted, now);
  if (!conducted.Controller) {
    if (!conducted.StatusItem.IsKnown || !conducted.MarkItem.IsKnown)
      return;
    conducted.Controller =
        makeController(conducted.Order,
                       {edge.Settings.Edge.ExposureShare, double(edge.Settings.Edge.ExposureSlack)},
                       conducted.Status, conducted.Mark, now);
    conducted.Begun = now.Steady;
  }
  rollout::Inputs in = inputsOf(edge, conducted.Order, now);
  // Late in an order, a holder that takes over would revert a good version for lack of evidence
  // before the nodes have reported again.
  const bool isResumed = conducted.Mark && conducted.Mark->Order == conducted.Order.Revision;
  if (isResumed && conducted.Controller->Nodes.size() < edge.Relay.LiveNodes &&
      now.Steady - conducted.Begun < ReportsTime)
    in.MayAct = false;
  // After an outage the old servers may be missing from the list for a while; the target is then
  // not the version in force already.
  if (conducted.Controller->State == rollout::State::Waiting &&
      (returnTimeLeft(edge, now) > Duration{0} || now.Steady < edge.KeepMissingUntil))
    in.MayAct = false;
  if (conducted.Controller->State == rollout::State::Closing)
    in.LiveNodes = liveNodes(edge);
  for (const rollout::Action &it : tick(*conducted.Controller, in, now))
    carryOut(edge, conducted, it);
  const bool hasTakenOver = isResumed && now.Steady - conducted.Begun < TakeOverTime;
  if (hasTakenOver || lacksReports(*conducted.Controller, in, now))
    checkObjections(edge, conducted, now);
  notifyNodes(edge, conducted, now);
}

} // namespace

void tickRollouts(Edge &edge) {
  const Now now = net::readNow();
  RolloutState &state = edge.Rollouts;
  if (!duty::isHeld(edge.Lease, now) || state.Token != edge.Lease.FencingToken)
    state.Conducted.clear();
  if (!duty::isHeld(edge.Lease, now))
    return;
  state.Token = edge.Lease.FencingToken;
  std::erase_if(state.Conducted, [&](const auto &it) {
    const auto order = state.Orders.find(it.first);
    return order == state.Orders.end() || order->second.Revision != it.second.Order.Revision;
  });
  for (const auto &[service, order] : state.Orders) {
    const auto [it, isNew] = state.Conducted.try_emplace(service);
    if (isNew) {
      it->second.Id = state.NextId++;
      it->second.Order = order;
    }
    conduct(edge, it->second, now);
  }
}

std::optional<message::RolloutGrant> answerRolloutReport(Edge &edge,
                                                         const message::RolloutReport &report) {
  const Now now = net::readNow();
  const auto it = edge.Rollouts.Conducted.find(report.Service);
  if (!duty::isHeld(edge.Lease, now) || edge.Rollouts.Token != edge.Lease.FencingToken ||
      it == edge.Rollouts.Conducted.end() || !it->second.Controller)
    return std::nullopt;
  const rollout::Order &order = it->second.Order;
  return rollout::onReport(*it->second.Controller, report, inputsOf(edge, order, now), now,
                           edge.Rng);
}

void setRolloutGauges(Edge &edge) {
  if (!edge.Relay.Settings.Rollouts)
    return;
  using enum rollout::State;
  std::map<rollout::State, double> states;
  std::uint64_t exposed = 0;
  std::uint64_t seen = 0;
  for (const auto &[service, it] : edge.Rollouts.Conducted) {
    if (!it.Controller)
      continue;
    ++states[it.Controller->State];
    exposed += exposedRequests(*it.Controller);
    seen += seenRequests(*it.Controller);
  }
  for (const auto state : {Waiting, Probing, Loading, Shifting, Closing, Completed, Reverted})
    setGauge(edge.Counters, std::string("rollouts_") + toString(state), states[state]);
  setGauge(edge.Counters, "rollout_exposed_requests", static_cast<double>(exposed));
  setGauge(edge.Counters, "rollout_seen_requests", static_cast<double>(seen));
}

} // namespace chervil::daemon::detail
