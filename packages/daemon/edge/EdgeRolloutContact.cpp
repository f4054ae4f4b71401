// What a node does while the holder of the duty answers none of its reports about a rollout. It may
// use the old servers, but the holder can't tell it from a node that has ended. So it objects to
// the completion: it writes the status in the store again as it is, which makes the holder's
// conditional write of `completed` fail. It also learns from the status that the order has ended.
#include "daemon/edge/EdgeDetail.h"

#include "platform/RolloutDocument.h"
#include "platform/StoreCalls.h"

#include <optional>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Between two checks of a node. Objections have to follow each other within the time for which the
// holder waits for them (SilentTime in rollout/Controller.cpp).
constexpr Duration CheckPeriod = 1s;
// Delay after a failed or refused call.
constexpr Duration RetryDelay = 300ms;
// The first calls of a fleet that loses its holder are spread over this time.
constexpr std::chrono::milliseconds FirstCallSpread{300};

struct OrderId {
  std::string Service;
  std::string Target;
  std::uint64_t Revision = 0;
};

/// Null if the order or the contact has changed since a call was sent.
ContactCheck *findCheck(Edge &edge, const OrderId &order) {
  const auto it = edge.Rollouts.ContactChecks.find(order.Service);
  const auto known = edge.Relay.Rollouts.find(order.Service);
  if (it == edge.Rollouts.ContactChecks.end() || known == edge.Relay.Rollouts.end())
    return nullptr;
  it->second.IsBusy = false;
  return known->second.Share.Grant.Order == order.Revision ? &it->second : nullptr;
}

void checkAfter(ContactCheck &check, Duration delay) {
  check.NextCall = net::readNow().Steady + delay;
}

void onObjectionAnswer(Edge &edge, const OrderId &order, std::uint64_t replaced,
                       const PlatformAnswer &answer) {
  ContactCheck *check = findCheck(edge, order);
  if (check == nullptr)
    return;
  const auto revision = answer.Status == 200 ? adapter::readRevision(answer.Body) : std::nullopt;
  count(edge.Counters, "rollout_objection", revision ? "written" : "failed");
  logLine(edge, "rollout", "rollout_objection",
          {{"service", order.Service},
           {"target", order.Target},
           {"replaced_revision", std::to_string(replaced)},
           {"status", std::to_string(answer.Status)}});
  if (revision)
    check->Revision = *revision;
  else if (answer.Status == adapter::ConditionFailedStatus)
    check->Revision = check->Refused = replaced;
  checkAfter(*check, revision ? CheckPeriod : RetryDelay);
}

void object(Edge &edge, const OrderId &order, const store::Item &status) {
  adapter::ConditionalWrite write;
  write.Conditions = {{status.Key, status.Revision},
                      {adapter::rolloutOrderKey(order.Service), order.Revision}};
  write.Writes = {{.Key = status.Key, .Value = status.Value}};
  edge.Rollouts.ContactChecks[order.Service].IsBusy = true;
  count(edge.Counters, "store_calls", "rollout_contact");
  callPlatform(edge, adapter::writeCall(edge.Settings.Edge.StoreAddress, write),
               [&edge, order, replaced = status.Revision](const PlatformAnswer &answer) {
                 onObjectionAnswer(edge, order, replaced, answer);
               });
}

void onStatus(Edge &edge, const OrderId &order, const PlatformAnswer &answer) {
  ContactCheck *check = findCheck(edge, order);
  if (check == nullptr)
    return;
  const auto item = answer.Status == 200 ? adapter::readItem(answer.Body) : std::nullopt;
  if (!item && answer.Status != adapter::NotFoundStatus) {
    count(edge.Counters, "store_failed", "rollout_contact");
    checkAfter(*check, RetryDelay);
    return;
  }
  checkAfter(*check, CheckPeriod);
  const auto status = item ? std::optional(adapter::parseRolloutStatus(*item)) : std::nullopt;
  const rollout::Order about{
      .Service = order.Service, .Target = order.Target, .Revision = order.Revision};
  // Nothing is completed before the holder has written that the order is active.
  if (!status || !*status || !isAbout(**status, about))
    return;
  if (isFinal(about, **status)) {
    message::RolloutGrant notice;
    notice.Service = order.Service;
    notice.Target = order.Target;
    notice.Order = order.Revision;
    notice.Ended = (*status)->State == rollout::StatusState::Completed ? 1 : 2;
    onRolloutGrant(edge, notice);
    return;
  }
  // Another node has objected since: one objection holds for all.
  if (check->Revision != 0 && item->Revision != check->Revision) {
    check->Revision = item->Revision;
    return;
  }
  if (check->Refused == item->Revision) {
    check->GoneOrder = order.Revision;
    return;
  }
  object(edge, order, *item);
}

/// This node watches the orders, and this one is not among them any more.
bool isWithdrawn(const Edge &edge, const std::string &service, std::uint64_t order,
                 const Now &now) {
  const auto it = edge.Rollouts.Orders.find(service);
  return isConnected(edge.OperatorItems, now) &&
         (it == edge.Rollouts.Orders.end() || it->second.Revision != order);
}

} // namespace

void tickRolloutContact(Edge &edge) {
  if (edge.Stopping || edge.Relay.Rollouts.empty())
    return;
  const Now now = net::readNow();
  for (const auto &[service, rollout] : edge.Relay.Rollouts) {
    const rollout::NodeShare &share = rollout.Share;
    auto &checks = edge.Rollouts.ContactChecks;
    if (!lacksContact(share, now) || isWithdrawn(edge, service, share.Grant.Order, now)) {
      checks.erase(service);
      continue;
    }
    const auto [it, isNew] = checks.try_emplace(service);
    if (isNew) {
      std::uniform_int_distribution<std::int64_t> spread(0, FirstCallSpread.count());
      it->second.NextCall = now.Steady + std::chrono::milliseconds(spread(edge.Rng));
    }
    ContactCheck &check = it->second;
    if (check.IsBusy || now.Steady < check.NextCall || check.GoneOrder == share.Grant.Order)
      continue;
    check.IsBusy = true;
    count(edge.Counters, "store_calls", "rollout_contact");
    const OrderId order{service, share.Grant.Target, share.Grant.Order};
    callPlatform(
        edge,
        adapter::itemCall(edge.Settings.Edge.StoreAddress, adapter::rolloutStatusKey(service)),
        [&edge, order](const PlatformAnswer &answer) { onStatus(edge, order, answer); });
  }
}

} // namespace chervil::daemon::detail
