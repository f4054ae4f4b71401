// The duty that one node has at a time: its lease, and what the holder does.
#include "daemon/edge/DutyDetail.h"

#include "membership/Queries.h"

#include <algorithm>
#include <utility>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// The watchers try for a free duty one after the other, by name, so that few calls collide.
constexpr Duration StandDelay = 150ms;
// Counts that the holder has not got are lost with their node: a tenth of a second is 2% of a
// window of 5 s. The holder gets at most 200 reports a second.
constexpr Duration LeastReportPeriod = 100ms;
constexpr Duration ReportPeriodPerNode = 5ms;
constexpr Duration MostReportPeriod = 500ms;
// Counts of a node that was not told of the holder are late by this much more; a window is reported
// 2.5 s after its end.
constexpr Duration HolderAnnouncementPeriod = 500ms;

void onLeaseResult(Edge &edge, duty::LeaseCall::Kind what, int status, const std::string &body) {
  const Now now = net::readNow();
  duty::Lease &lease = edge.Lease;
  if (status == adapter::NotFoundStatus && what != duty::LeaseCall::Kind::Create) {
    duty::onLeaseNotFound(lease, now);
    return;
  }
  if (status == adapter::ConditionFailedStatus) {
    duty::onClaimRefused(lease, now);
    return;
  }
  const auto number = what == duty::LeaseCall::Kind::Create ? adapter::readLeaseId(body)
                                                            : adapter::readRevision(body);
  if (status != 200) {
    duty::onCallFailed(lease, now);
    return;
  }
  switch (what) {
  case duty::LeaseCall::Kind::Create:
    if (number)
      duty::onCreated(lease, *number, now);
    else
      duty::onCallFailed(lease, now);
    break;
  case duty::LeaseCall::Kind::Claim:
    if (number)
      duty::onClaimed(lease, *number, now);
    else
      duty::onCallFailed(lease, now);
    break;
  case duty::LeaseCall::Kind::Renew:
    duty::onRenewed(lease, now);
    break;
  case duty::LeaseCall::Kind::End:
    duty::onEnded(lease);
    break;
  }
}

const store::Item *ownItem(const Edge &edge, const char *key) {
  const auto it = edge.OwnItems.Items.find(key);
  return it == edge.OwnItems.Items.end() ? nullptr : &it->second;
}

std::int64_t millisecondsSince(TimePoint at, const Now &now) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now.Steady - at).count();
}

std::optional<duty::LastHolder> lastHolder(const Edge &edge) {
  const store::Item *item = ownItem(edge, LastHolderKey);
  return item == nullptr ? std::nullopt : std::optional(duty::parseLastHolder(item->Value));
}

/// The answer names the revision of the last item written, which must be that of HolderKey.
adapter::ConditionalWrite claimOf(const Edge &edge, std::uint64_t lease) {
  const store::Item *last = ownItem(edge, LastHolderKey);
  return {.Conditions = {{HolderKey, 0}, {LastHolderKey, last == nullptr ? 0 : last->Revision}},
          .Writes = {{.Key = LastHolderKey,
                      .Value = duty::formatLastHolder({edge.Lease.Options.Node, edge.StoreEra})},
                     {.Key = HolderKey, .Value = edge.Lease.Options.Value, .Lease = lease}}};
}

http::Call leaseCall(const Edge &edge, const duty::LeaseCall &what) {
  switch (what.Type) {
  case duty::LeaseCall::Kind::Create:
    return adapter::createLeaseCall(edge.Settings.Edge.StoreAddress, edge.Lease.Options.Ttl);
  case duty::LeaseCall::Kind::Claim:
    return adapter::writeCall(edge.Settings.Edge.StoreAddress, claimOf(edge, what.LeaseId));
  case duty::LeaseCall::Kind::Renew:
    return adapter::renewLeaseCall(edge.Settings.Edge.StoreAddress, what.LeaseId);
  case duty::LeaseCall::Kind::End:
    break;
  }
  return adapter::endLeaseCall(edge.Settings.Edge.StoreAddress, what.LeaseId);
}

/// As duty::mayClaim(); logs when the node begins to wait.
bool mayClaimNow(Edge &edge, const Now &now) {
  const auto last = lastHolder(edge);
  const bool may = duty::mayClaim(edge.Lease, last, now);
  if (!may && !edge.ClaimDeferred)
    logLine(
        edge, "duty", "claim_deferred",
        {{"last_holder", last ? last->Node : ""},
         {"last_era", std::to_string(last ? last->Era : 0)},
         {"era", std::to_string(edge.Lease.Era)},
         // Empty as long as no answer of the store has named an era.
         {"era_age_ms",
          edge.Lease.Era == 0 ? "" : std::to_string(millisecondsSince(edge.Lease.EraSince, now))},
         {"quiet_ms", std::to_string(millisecondsSince(edge.Lease.QuietSince, now))},
         {"open_calls", std::to_string(edge.Lease.OpenActions)}});
  edge.ClaimDeferred = !may;
  return may;
}

/// True once the duty has been free for this node's turn.
bool mayStand(Edge &edge, const Now &now) {
  if (edge.IsLeaving || !isWatcher(edge) || !isConnected(edge.OwnItems, now) ||
      !store::isComplete(edge.OwnItems))
    return false;
  if (holderItem(edge) != nullptr) {
    edge.DutyFreeSince.reset();
    return false;
  }
  if (!edge.DutyFreeSince)
    edge.DutyFreeSince = now.Steady;
  if (!mayClaimNow(edge, now))
    return false;
  const auto before =
      std::distance(edge.Watchers.begin(), edge.Watchers.find(edge.Settings.Node.Name));
  return now.Steady - *edge.DutyFreeSince >= before * StandDelay;
}

void tickLease(Edge &edge) {
  const Now now = net::readNow();
  if (edge.Settings.Edge.DutyAddress.empty())
    return;
  const auto next = duty::nextCall(edge.Lease, holderItem(edge), mayStand(edge, now), now);
  if (!next)
    return;
  count(edge.Counters, "store_calls", "lease");
  callPlatform(edge, leaseCall(edge, *next),
               [&edge, what = next->Type, era = edge.StoreEra](const PlatformAnswer &answer) {
                 if (isSameEra(edge.StoreEra, era))
                   onLeaseResult(edge, what, answer.Status, answer.Body);
                 else
                   duty::onCallFailed(edge.Lease, net::readNow());
                 tickDuty(edge);
               });
}

} // namespace

adapter::DutyHolder holderOf(const Edge &edge) {
  return {edge.Settings.Node.Name, edge.Lease.FencingToken};
}

void callAsHolder(Edge &edge, http::Call what, OnAnswer onAnswer) {
  const auto timeout = duty::actionTimeout(edge.Lease, net::readNow());
  if (!timeout) {
    onAnswer({.Failure = http::Failure::NotSent});
    return;
  }
  what.Timeout = std::min(what.Timeout, *timeout);
  duty::onActionStarted(edge.Lease);
  callPlatform(
      edge, std::move(what), [&edge, onAnswer = std::move(onAnswer)](const PlatformAnswer &answer) {
        duty::onActionEnded(edge.Lease, answer.Failure == http::Failure::None, net::readNow());
        onAnswer(answer);
        if (edge.Lease.Resigning)
          tickLease(edge);
      });
}

const store::Item *holderItem(const Edge &edge) { return ownItem(edge, HolderKey); }

void tickDuty(Edge &edge) {
  if (edge.Stopping)
    return;
  const Now now = net::readNow();
  tickLease(edge);
  tickUsage(edge);
  tickOrders(edge);
  tickRollouts(edge);
  if (now.Steady >= edge.NextUsageReport) {
    edge.NextUsageReport =
        now.Steady +
        std::clamp<Duration>(ReportPeriodPerNode * static_cast<std::int64_t>(edge.Relay.LiveNodes),
                             LeastReportPeriod, MostReportPeriod);
    duty::pruneWindows(edge.Usage, duty::filteredTime(edge.Clock, now));
    reportUsage(edge);
  }
  if (duty::isHeld(edge.Lease, now) && now.Steady >= edge.NextHolderAnnouncement) {
    edge.NextHolderAnnouncement = now.Steady + HolderAnnouncementPeriod;
    announceHolder(edge);
  }
}

} // namespace chervil::daemon::detail
