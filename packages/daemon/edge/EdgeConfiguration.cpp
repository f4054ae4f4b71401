// The configuration of the operators: taken into force, passed on and confirmed between nodes.
#include "daemon/edge/EdgeDetail.h"

#include "platform/ConfigurationDocument.h"

#include <algorithm>
#include <utility>

namespace chervil::daemon::detail {

void onConfigurationUpdate(Edge &edge, const message::DocUpdate &m, const Now &now) {
  const config::Document *held = config::find(edge.Documents, ConfigurationName);
  if (held != nullptr && m.Version <= held->Version)
    (void)config::onUpdate(edge.Documents, m, now);
  else
    applyConfiguration(edge, m.Version, m.Body, "peer");
}

void onConfigurationStatus(Edge &edge, const NodeId &from, const message::ConfigurationStatus &m,
                           const Now &now) {
  config::noteVersion(edge.Documents, ConfigurationName, m.Version, from);
  if (edge.Relay.Config == nullptr || m.Version != edge.Relay.Config->Version)
    return;
  std::optional<TimePoint> &newest = edge.Relay.ConfigStatus.NewestAt;
  newest = std::max(newest, std::optional(now.Steady - m.Age));
}

bool applyConfiguration(Edge &edge, std::uint64_t version, const std::string &body,
                        const char *source) {
  const std::uint64_t present = edge.Relay.Config == nullptr ? 0 : edge.Relay.Config->Version;
  if (version != 0 && version <= present)
    return false;
  auto parsed = adapter::parseConfiguration(body);
  if (!parsed) {
    logLine(edge, "config", "bad_configuration",
            {{"source", source}, {"error", parsed.error().Message}});
    count(edge.Counters, "bad_configuration", source);
    return false;
  }
  const relay::CallerLimits limits = parsed->Limits;
  const std::uint64_t routes = parsed->Routes.size();
  if (!relay::configure(edge.Relay,
                        std::make_shared<const relay::Configuration>(std::move(*parsed))))
    return false;
  edge.Relay.ConfigStatus.Source = source;
  edge.Relay.ConfigStatus.InForceSince = net::readNow().Steady;
  logLine(edge, "config", "in_force",
          {{"version", std::to_string(edge.Relay.Config->Version)},
           {"before", std::to_string(present)},
           {"source", source},
           {"routes", std::to_string(routes)}});
  if (edge.Callers != nullptr)
    http::setLimits(*edge.Callers, limitsOf(limits));
  (void)config::onUpdate(edge.Documents, {ConfigurationName, edge.Relay.Config->Version, body},
                         net::readNow());
  return true;
}

void announceConfiguration(Edge &edge) {
  const auto &newest = edge.Relay.ConfigStatus.NewestAt;
  if (edge.Relay.Config == nullptr || !newest)
    return;
  const auto age = std::chrono::ceil<std::chrono::milliseconds>(net::readNow().Steady - *newest);
  for (const NodeId &it : otherMembers(edge))
    sendTo(edge, it, message::ConfigurationStatus{edge.Relay.Config->Version, age});
}

} // namespace chervil::daemon::detail
