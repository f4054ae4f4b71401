// Orders of backend servers by the holder of the duty.
#include "daemon/edge/DutyDetail.h"

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

constexpr Duration OrderPeriod = 500ms;

fleet::ZoneTerms termsOf(const relay::ScalingPolicy &scaling, const EdgeSection &settings) {
  return {.Min = scaling.Min,
          .Max = scaling.Max,
          .ReclaimablePrice = scaling.ReclaimablePrice,
          .BootTime = scaling.BootTime,
          .Prices = scaling.Prices,
          .ReclaimableFraction = settings.ReclaimablePercent / 100.0,
          .NeededFraction = settings.NeededPercent / 100.0};
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
  callAsHolder(edge, adapter::orderCall(edge.Settings.Edge.DutyAddress, holderOf(edge), order),
               [&edge, service, what](const PlatformAnswer &answer) {
                 logLine(edge, "duty", "servers_ordered",
                         {{"service", service},
                          {"data_centre", what.DataCentre},
                          {"reclaimable", what.Reclaimable ? "true" : "false"},
                          {"count", std::to_string(what.Count)},
                          {"needed", std::to_string(edge.Orders[service].Needed)},
                          {"token", std::to_string(edge.Lease.FencingToken)},
                          {"status", std::to_string(answer.Status)}});
                 fleet::onOrderResult(edge.Orders[service], what, resultOf(answer.Status),
                                      net::readNow());
               });
}

} // namespace

void tickOrders(Edge &edge) {
  const Now now = net::readNow();
  if (!duty::isHeld(edge.Lease, now)) {
    edge.Orders.clear();
    return;
  }
  if (now.Steady < edge.NextOrders || edge.Relay.Config == nullptr ||
      !isConnected(edge.ServerItems, now) || !store::isComplete(edge.ServerItems))
    return;
  edge.NextOrders = now.Steady + OrderPeriod;
  for (const auto &[name, service] : edge.Relay.Config->Services) {
    if (!service.Scaling)
      continue;
    fleet::ZoneTerms terms = termsOf(*service.Scaling, edge.Settings.Edge);
    terms.BusyServers = relay::estimateBusyServers(edge.Relay, name, now);
    const auto orders = fleet::planOrders(edge.Orders[name], terms, serversOf(edge, name), now);
    for (const fleet::ZoneOrder &it : orders)
      order(edge, name, it);
  }
}

} // namespace chervil::daemon::detail
