// The duties that one node has at a time: the lease, and the usage reports.
#include "daemon/edge/EdgeDetail.h"

#include "duty/Holder.h"
#include "membership/Queries.h"
#include "platform/DutyCalls.h"
#include "platform/StoreCalls.h"

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Own keys in the store; OwnItems mirrors the prefix.
constexpr const char *HolderKey = "chervil/duty/holder";
constexpr const char *RecordKey = "chervil/duty/usage";
// Nodes try for a free duty one after the other, by name, so that few calls collide.
constexpr Duration StandDelay = 150ms;
constexpr const char *BookKey = "chervil/duty/counts";
constexpr Duration ReportPeriod = 300ms;
// Counts of nodes that end with the holder survive it in the store, up to this age.
constexpr Duration BookPeriod = 1s;
constexpr Duration OrderPeriod = 500ms;

using OnResult = std::function<void(int status, const std::string &body)>;

/// Status 0 stands for no answer.
void call(Edge &edge, http::Call what, OnResult onResult) {
  auto body = std::make_shared<std::string>();
  auto status = std::make_shared<int>(0);
  http::CallEvents events;
  events.OnHead = [status](const http::ResponseHead &head) { *status = head.Status; };
  events.OnData = [body](std::string_view bytes) { body->append(bytes); };
  events.OnEnd = [status, body, onResult = std::move(onResult)](const http::End &end) {
    onResult(end.Failure == http::Failure::None ? *status : 0, *body);
  };
  http::startCall(*edge.Platform, std::move(what), std::move(events));
}

const std::string &storeAddress(const Edge &edge) { return edge.Settings.Edge.StoreAddress; }

void onLeaseResult(Edge &edge, duty::LeaseCall::Kind what, int status, const std::string &body) {
  const Now now = net::readNow();
  duty::Lease &lease = edge.Lease;
  if (status == adapter::NotFoundStatus && what != duty::LeaseCall::Kind::Create) {
    duty::onLeaseGone(lease, now);
    return;
  }
  if (status == adapter::ConditionFailedStatus) {
    duty::onClaimRefused(lease, now);
    return;
  }
  const auto number = what == duty::LeaseCall::Kind::Create ? adapter::readLeaseId(body)
                                                            : adapter::readRevision(body);
  if (status != 200) {
    duty::onFailed(lease, now);
    return;
  }
  switch (what) {
  case duty::LeaseCall::Kind::Create:
    if (number)
      duty::onCreated(lease, *number, now);
    else
      duty::onFailed(lease, now);
    break;
  case duty::LeaseCall::Kind::Claim:
    if (number)
      duty::onClaimed(lease, *number, now);
    else
      duty::onFailed(lease, now);
    break;
  case duty::LeaseCall::Kind::Renew:
    duty::onRenewed(lease, now);
    break;
  case duty::LeaseCall::Kind::End:
    duty::onEnded(lease);
    break;
  }
}

http::Call leaseCall(const Edge &edge, const duty::LeaseCall &what) {
  switch (what.What) {
  case duty::LeaseCall::Kind::Create:
    return adapter::createLeaseCall(storeAddress(edge), edge.Lease.Options.Ttl);
  case duty::LeaseCall::Kind::Claim:
    return adapter::writeCall(storeAddress(edge), {.Conditions = {{HolderKey, 0}},
                                                   .Key = HolderKey,
                                                   .Value = edge.Lease.Options.Value,
                                                   .Lease = what.LeaseId});
  case duty::LeaseCall::Kind::Renew:
    return adapter::renewLeaseCall(storeAddress(edge), what.LeaseId);
  case duty::LeaseCall::Kind::End:
    break;
  }
  return adapter::endLeaseCall(storeAddress(edge), what.LeaseId);
}

/// True once the duty has been free for this node's turn.
bool mayStand(Edge &edge, const Now &now) {
  if (edge.IsLeaving || !inContact(edge.OwnItems, now) || !store::isComplete(edge.OwnItems) ||
      edge.OwnItems.Failures > 0)
    return false;
  if (holderItem(edge) != nullptr) {
    edge.DutyFreeSince.reset();
    return false;
  }
  if (!edge.DutyFreeSince)
    edge.DutyFreeSince = now.Steady;
  Duration turn{0};
  for (const membership::Member *it : membership::live(edge.Members)) {
    if (it->Info.Id.Name == edge.Settings.Node.Name)
      break;
    turn += StandDelay;
  }
  return now.Steady - *edge.DutyFreeSince >= turn;
}

void tickLease(Edge &edge) {
  const Now now = net::readNow();
  if (edge.Settings.Edge.DutyAddress.empty())
    return;
  const auto next = duty::nextCall(edge.Lease, holderItem(edge), mayStand(edge, now), now);
  if (!next)
    return;
  count(edge.Counters, "store_calls", "lease");
  call(edge, leaseCall(edge, *next),
       [&edge, what = next->What](int status, const std::string &body) {
         onLeaseResult(edge, what, status, body);
         tickDuty(edge);
       });
}

adapter::DutyHolder holderOf(const Edge &edge) {
  return {edge.Settings.Node.Name, edge.Lease.Token};
}

void readRecord(Edge &edge) {
  edge.Posting.Busy = true;
  call(edge, adapter::itemCall(storeAddress(edge), RecordKey),
       [&edge](int status, const std::string &body) {
         edge.Posting.Busy = false;
         if (status == adapter::NotFoundStatus) {
           duty::onRecordSeen(edge.Posting, std::nullopt, 0);
           return;
         }
         const auto item = status == 200 ? adapter::readItem(body) : std::nullopt;
         if (!item)
           return;
         duty::onRecordSeen(edge.Posting, adapter::decodeRecord(item->Value), item->Revision);
       });
}

void readBook(Edge &edge) {
  edge.BookBusy = true;
  call(edge, adapter::itemCall(storeAddress(edge), BookKey),
       [&edge](int status, const std::string &body) {
         edge.BookBusy = false;
         const auto item = status == 200 ? adapter::readItem(body) : std::nullopt;
         if (item)
           duty::merge(edge.Usage, adapter::decodeReport(item->Value));
         edge.BookKnown = item.has_value() || status == adapter::NotFoundStatus;
       });
}

/// Leaves the counts of all nodes in the store for a later holder. Losing a write costs nothing but
/// their freshness.
void writeBook(Edge &edge, const Now &now) {
  if (edge.BookBusy || now.Steady < edge.NextBookWrite)
    return;
  edge.NextBookWrite = now.Steady + BookPeriod;
  const message::UsageReport report = duty::reportOf(edge.Usage);
  if (report.Counts.empty())
    return;
  edge.BookBusy = true;
  adapter::ConditionalWrite write;
  write.Conditions = {{HolderKey, edge.Lease.Token}};
  write.Key = BookKey;
  write.Value = adapter::encodeReport(report);
  call(edge, adapter::writeCall(storeAddress(edge), write),
       [&edge](int status, const std::string &) {
         edge.BookBusy = false;
         if (status != 200)
           count(edge.Counters, "store_failed", "counts");
       });
}

std::string summary(const duty::Counts &counts) {
  std::uint64_t sum = 0;
  for (const auto &[workspace, n] : counts)
    sum += n;
  return std::to_string(sum);
}

void post(Edge &edge, const duty::UsageStep &step) {
  call(edge,
       adapter::usageCall(edge.Settings.Edge.DutyAddress, holderOf(edge), step.Window, step.Counts),
       [&edge, step](int status, const std::string &) {
         logLine(edge, "duty", "usage_posted",
                 {{"window", std::to_string(step.Window)},
                  {"requests", summary(step.Counts)},
                  {"token", std::to_string(edge.Lease.Token)},
                  {"status", std::to_string(status)}});
         if (status == 200)
           duty::onPosted(edge.Posting);
         else
           duty::onStepFailed(edge.Posting, step);
       });
}

void record(Edge &edge, const duty::UsageStep &step) {
  adapter::ConditionalWrite write;
  write.Conditions = {{HolderKey, edge.Lease.Token}, {RecordKey, step.IfRevision}};
  write.Key = RecordKey;
  write.Value = adapter::encodeRecord({step.Window, step.Counts});
  call(edge, adapter::writeCall(storeAddress(edge), write),
       [&edge, step](int status, const std::string &body) {
         const auto revision = status == 200 ? adapter::readRevision(body) : std::nullopt;
         if (revision)
           duty::onRecorded(edge.Posting, step, *revision);
         else
           duty::onStepFailed(edge.Posting, step);
         tickDuty(edge);
       });
}

void tickUsage(Edge &edge) {
  const Now now = net::readNow();
  const WallTime wall = duty::trueTime(edge.Clock, now);
  const bool held = duty::isHeld(edge.Lease, now);
  if (held != edge.ActsAsHolder) {
    edge.ActsAsHolder = held;
    logLine(edge, "duty", held ? "taken" : "ended", {{"token", std::to_string(edge.Lease.Token)}});
    if (held)
      duty::takeDuty(edge.Posting, edge.Usage, wall);
    edge.BookKnown = false;
  }
  if (!held)
    return;
  if (!edge.BookKnown) {
    if (!edge.BookBusy)
      readBook(edge);
    return;
  }
  writeBook(edge, now);
  if (!edge.Posting.RecordKnown && !edge.Posting.Busy) {
    readRecord(edge);
    return;
  }
  const auto step = duty::nextStep(edge.Posting, edge.Usage, wall);
  if (!step)
    return;
  if (step->What == duty::UsageStep::Kind::Post)
    post(edge, *step);
  else
    record(edge, *step);
}

fleet::ZoneTerms termsOf(const relay::ScalingTerms &scaling, const EdgeSection &settings) {
  return {.Min = scaling.Min,
          .Max = scaling.Max,
          .ReclaimablePrice = scaling.ReclaimablePrice,
          .BootTime = scaling.BootTime,
          .Prices = scaling.Prices,
          .ReclaimablePart = settings.ReclaimablePercent / 100.0,
          .NeededPart = settings.NeededPercent / 100.0};
}

std::map<std::string, fleet::ZoneCount> serversOf(const Edge &edge, const std::string &service) {
  std::map<std::string, fleet::ZoneCount> out;
  for (const auto &[id, it] : edge.Relay.Servers.Servers) {
    if (it.Leaving || it.Entry.Service != service)
      continue;
    fleet::ZoneCount &count = out[it.Entry.DataCentre];
    ++(it.Entry.Reclaimable ? count.Reclaimable : count.OnDemand);
  }
  return out;
}

fleet::OrderResult resultOf(int status) {
  if (status == 200)
    return fleet::OrderResult::Accepted;
  return status == 0 ? fleet::OrderResult::Unknown : fleet::OrderResult::Refused;
}

void order(Edge &edge, const std::string &service, const fleet::ZoneOrder &what) {
  const adapter::ServerOrder order{service, what.DataCentre, what.Reclaimable, what.Count};
  call(edge, adapter::orderCall(edge.Settings.Edge.DutyAddress, holderOf(edge), order),
       [&edge, service, what](int status, const std::string &) {
         logLine(edge, "duty", "servers_ordered",
                 {{"service", service},
                  {"data_centre", what.DataCentre},
                  {"reclaimable", what.Reclaimable ? "true" : "false"},
                  {"count", std::to_string(what.Count)},
                  {"token", std::to_string(edge.Lease.Token)},
                  {"status", std::to_string(status)}});
         fleet::onOrderResult(edge.Orders[service], what, resultOf(status), net::readNow());
       });
}

/// Orders backend servers while this node holds the duty and knows which there are.
void tickOrders(Edge &edge) {
  const Now now = net::readNow();
  if (!duty::isHeld(edge.Lease, now)) {
    edge.Orders.clear();
    return;
  }
  if (now.Steady < edge.NextOrders || edge.Relay.Config == nullptr ||
      !inContact(edge.ServerItems, now) || !store::isComplete(edge.ServerItems))
    return;
  edge.NextOrders = now.Steady + OrderPeriod;
  for (const auto &[name, service] : edge.Relay.Config->Services) {
    if (!service.Scaling)
      continue;
    const auto orders =
        fleet::plan(edge.Orders[name], termsOf(*service.Scaling, edge.Settings.Edge),
                    serversOf(edge, name), now);
    for (const fleet::ZoneOrder &it : orders)
      order(edge, name, it);
  }
}

} // namespace

const store::Item *holderItem(const Edge &edge) {
  const auto it = edge.OwnItems.Items.find(HolderKey);
  return it == edge.OwnItems.Items.end() ? nullptr : &it->second;
}

void tickDuty(Edge &edge) {
  if (edge.Stopping)
    return;
  const Now now = net::readNow();
  tickLease(edge);
  tickUsage(edge);
  tickOrders(edge);
  if (now.Steady >= edge.NextUsageReport) {
    edge.NextUsageReport = now.Steady + ReportPeriod;
    duty::prune(edge.Usage, duty::trueTime(edge.Clock, now));
    reportUsage(edge);
  }
}

} // namespace chervil::daemon::detail
