#include "daemon/edge/Edge.h"

#include "base/Hash.h"
#include "daemon/NodeOptions.h"
#include "daemon/ProcessUsage.h"
#include "daemon/edge/EdgeDetail.h"
#include "duty/Holder.h"
#include "membership/Queries.h"
#include "platform/BackendDocument.h"
#include "platform/ConfigurationDocument.h"
#include "settings/ParseNodeSettings.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace chervil::daemon {
namespace {

using namespace std::chrono_literals;

constexpr Duration RelayTick = 20ms;
constexpr Duration SlowTick = 100ms;
constexpr Duration SettingsPeriod = 2s;
// Time between two readings of the backend servers by all nodes together. A reclaim gives 2 s of
// notice, and each reading has a price.
constexpr Duration ListPeriod = 250ms;
// A configuration has up to 1 MiB, which is 1.1 s of a link of 10 Mbit/s that carries nothing else.
constexpr std::chrono::milliseconds MaxConfigurationReadTimeout{2400};
// After SIGTERM a node takes requests for this long, because callers use the list of addresses that
// they hold; later ones might not end before the process does.
constexpr Duration LeavingTime = 2500ms;
// The last part of stop_time is left to the end of the process.
constexpr Duration StopMargin = 500ms;
constexpr std::uint64_t BytesPerMb = 1'000'000;
// A node that cannot serve reports this load, so that callers are sent to others.
constexpr std::uint8_t NotReadyLoad = 100;

std::uint64_t wallMs(const Now &now) {
  return static_cast<std::uint64_t>(now.Wall.time_since_epoch().count());
}

relay::Options relayOptions(const NodeSettings &settings) {
  relay::Options options;
  options.Node = settings.Node.Name;
  options.DataCentre = settings.Node.DataCentre;
  options.RetryRatio = settings.Edge.RetryPermille / 1000.0;
  options.RetrySlack = settings.Edge.RetrySlack;
  options.RetryWindow = settings.Edge.RetryWindow;
  options.MaxAnswerBytes = settings.Edge.MaxAnswerBytes;
  options.MaxCollectedBytes = settings.Edge.MaxCollectedBytes;
  options.Rollouts = settings.Edge.ExposureShare > 0 && !settings.Edge.DutyAddress.empty();
  return options;
}

std::string readText(const std::string &path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

/// Takes changed settings that can change while the node runs: those of retries, of the stop and of
/// the size of answers.
void reloadSettings(Edge &edge) {
  const std::string text = readText(edge.SettingsPath);
  if (text.empty() || text == edge.SettingsText)
    return;
  edge.SettingsText = text;
  const auto settings =
      parseNodeSettings(text, edge.SettingsPath, readSecretFile, edge.SettingOverrides);
  if (!settings) {
    detail::logLine(edge, "settings", "bad", {{"error", toString(settings.error().front())}});
    return;
  }
  edge.Settings.Edge.StopTime = settings->Edge.StopTime;
  edge.Settings.Edge.RetryPermille = settings->Edge.RetryPermille;
  edge.Settings.Edge.RetrySlack = settings->Edge.RetrySlack;
  edge.Settings.Edge.RetryWindow = settings->Edge.RetryWindow;
  edge.Settings.Edge.MaxAnswerBytes = settings->Edge.MaxAnswerBytes;
  edge.Settings.Edge.MaxCollectedBytes = settings->Edge.MaxCollectedBytes;
  edge.Relay.Settings = relayOptions(edge.Settings);
  detail::logLine(edge, "settings", "reloaded", {});
}

void tickReady(Edge &edge) {
  const bool ready = isReady(edge);
  membership::setLoad(edge.Members, ready ? 0 : NotReadyLoad, net::readNow());
  if (ready == edge.WasReady)
    return;
  edge.WasReady = ready;
  detail::logLine(edge, "node", ready ? "ready" : "not_ready",
                  {{"leaving", edge.IsLeaving ? "true" : "false"}});
}

void endProcess(Edge &edge, const char *why) {
  if (edge.Stopping)
    return;
  detail::handle(edge, [&edge](relay::Effects &out, const Now &now) {
    relay::endRequests(edge.Relay, out, now, edge.Rng);
  });
  detail::reportUsage(edge);
  edge.Stopping = true;
  detail::logLine(edge, "node", "stopped", {{"reason", why}});
  // The last answers and messages to peers leave from the loop.
  net::after(edge.Timers, 50ms, [&edge] { net::stop(edge.Loop); });
}

void tickLeaving(Edge &edge) {
  if (!edge.IsLeaving || edge.Stopping)
    return;
  const Duration age = net::readNow().Steady - edge.LeavingSince;
  if (age >= edge.Settings.Edge.StopTime - StopMargin) {
    endProcess(edge, "stop_time");
    return;
  }
  if (age < LeavingTime)
    return;
  http::stopListening(*edge.Callers);
  http::closeIdle(*edge.Callers);
  edge.Relay.RefusesRequests = true;
  if (http::openRequests(*edge.Callers) == 0)
    endProcess(edge, "drained");
}

void slowTick(Edge &edge) {
  tickReady(edge);
  detail::tickPeers(edge);
  detail::tickStore(edge);
  detail::tickDuty(edge);
  tickLeaving(edge);
  flush(edge.Log);
}

void startTimers(Edge &edge) {
  net::every(edge.Timers, RelayTick, [&edge] {
    detail::handle(edge, [&edge](relay::Effects &out, const Now &now) {
      relay::tick(edge.Relay, out, now, edge.Rng);
    });
    detail::tickRolloutReports(edge);
    detail::tickRolloutContact(edge);
  });
  net::every(edge.Timers, SlowTick, [&edge] { slowTick(edge); });
  net::every(edge.Timers, SettingsPeriod, [&edge] { reloadSettings(edge); });
  net::onSignal(edge.Loop, SIGTERM, [&edge] { leave(edge); });
  net::onSignal(edge.Loop, SIGINT, [&edge] { leave(edge); });
  net::onSignal(edge.Loop, SIGHUP, [&edge] { reloadSettings(edge); });
}

} // namespace

Edge::Edge(NodeSettings settings, std::string settingsPath, std::vector<std::string> overrides)
    : Settings(std::move(settings)), SettingsPath(std::move(settingsPath)),
      SettingOverrides(std::move(overrides)) {
  const Now now = net::readNow();
  SettingsText = readText(SettingsPath);
  Log.Node = Settings.Node.Name;
  Log.Updated = now.Steady;
  Rng.seed(hashBytes(Settings.Node.Name, wallMs(now)));
  Relay = relay::makeState(relayOptions(Settings));
  Members = membership::start(selfOf(Settings, now), Settings.Node.Seeds,
                              membershipOptions(Settings), now);
  OperatorItems = store::makeMirror(
      {.Prefix = adapter::OperatorPrefix, .MaxReadTimeout = MaxConfigurationReadTimeout});
  // A watch on the backend servers would return at every heartbeat of every server.
  ServerItems = store::makeMirror({.Prefix = adapter::BackendPrefix, .PollPeriod = ListPeriod});
  OwnItems = store::makeMirror({.Prefix = "chervil/duty/"});
  for (const std::string &it : Settings.Node.Seeds)
    OtherSeeds += it == Settings.Node.PeerAdvertise ? 0 : 1;
  KnownNodes = 2 * OtherSeeds + 1;
  Usage.Window = Settings.Edge.UsageWindow;
  Lease.Options.Ttl = Settings.Edge.DutyLease;
  Lease.Options.Node = Settings.Node.Name;
  Lease.QuietSince = now.Steady;
  Lease.Options.Value =
      duty::formatHolder({Settings.Node.Name, wallMs(now), Settings.Node.PeerAdvertise});
  Memory = limits::makeMemoryBudget(std::uint64_t{Settings.Edge.MemoryMb} * BytesPerMb);
  Backends = http::makeClient(Loop, Timers, {.Memory = &Memory});
  Platform = http::makeClient(Loop, Timers, {.MaxIdlePerAddress = 4});
}

Result<void> start(Edge &edge) {
  if (Result<void> ok = detail::startPeers(edge); !ok)
    return ok;
  if (Result<void> ok = detail::startServers(edge); !ok)
    return ok;
  startTimers(edge);
  detail::checkRolloutSettings(edge);
  detail::logLine(edge, "node", "started",
                  {{"callers", edge.Settings.Node.CallerListen},
                   {"data_centre", edge.Settings.Node.DataCentre}});
  slowTick(edge);
  return {};
}

void leave(Edge &edge) {
  if (edge.IsLeaving)
    return;
  const Now now = net::readNow();
  edge.IsLeaving = true;
  edge.LeavingSince = now.Steady;
  detail::logLine(edge, "node", "leaving",
                  {{"open_requests", std::to_string(http::openRequests(*edge.Callers))}});
  edge.Lease.Resigning = true;
  http::startDraining(*edge.Callers);
  const auto effects = membership::announceLeaving(
      edge.Members, now.Wall + edge.Settings.Edge.StopTime, now, edge.Rng);
  for (const membership::OutgoingMessage &it : effects.Messages)
    net::send(*edge.Peers, it.Address, it.Body);
  slowTick(edge);
}

bool isReady(const Edge &edge) {
  return !edge.IsLeaving && edge.Relay.Config != nullptr && !edge.Relay.Servers.Servers.empty();
}

namespace {

/// Sets the range of the estimates over all servers that take requests.
void setEstimates(Metrics &metrics, const relay::Backends &backends, const Now &now) {
  double fastest = balance::MaxSpeedFactor;
  double slowest = 1 / balance::MaxSpeedFactor;
  double longest = 0;
  for (const auto &[id, it] : backends.Servers) {
    if (it.Leaving)
      continue;
    const double factor = relay::speedOf(backends, it, now).Factor;
    fastest = std::min(fastest, factor);
    slowest = std::max(slowest, factor);
    longest = std::max(longest, relay::expectedWaitAt(backends, it, now));
  }
  setGauge(metrics, "backend_speed_factor_min", fastest);
  setGauge(metrics, "backend_speed_factor_max", slowest);
  setGauge(metrics, "backend_wait_tokens_max", longest);
  setGauge(metrics, "load_report_age_seconds",
           backends.Peers.Reports.empty()
               ? 0
               : std::chrono::duration<double>(relay::reportAge(backends.Peers, now)).count());
  setGauge(metrics, "load_reports", static_cast<double>(backends.Peers.Reports.size()));
}

} // namespace

std::string metricsText(Edge &edge) {
  Metrics &metrics = edge.Counters;
  const ProcessUsage usage = readProcessUsage();
  setTotal(metrics, "process_cpu_seconds", "all",
           std::chrono::duration<double>(usage.Processor).count());
  setGauge(metrics, "process_resident_bytes", static_cast<double>(usage.ResidentBytes));
  setGauge(metrics, "open_requests", static_cast<double>(edge.Requests.size()));
  setGauge(metrics, "live_nodes", static_cast<double>(edge.Relay.LiveNodes));
  setGauge(metrics, "backend_servers", static_cast<double>(edge.Relay.Servers.Servers.size()));
  setEstimates(metrics, edge.Relay.Servers, net::readNow());
  setGauge(metrics, "holds_duty", edge.ActsAsHolder ? 1 : 0);
  detail::setRolloutGauges(edge);
  const std::uint64_t version = edge.Relay.Config == nullptr ? 0 : edge.Relay.Config->Version;
  setGauge(metrics, "configuration_version", static_cast<double>(version));
  const http::ClientCounters &calls = http::counters(*edge.Backends);
  setTotal(metrics, "backend_connections", "opened", static_cast<double>(calls.Opened));
  setTotal(metrics, "backend_connections", "reused", static_cast<double>(calls.Reused));
  setTotal(metrics, "backend_responses", "ignored", static_cast<double>(calls.IgnoredResponses));
  setTotal(metrics, "backend_responses", "trailing_bytes",
           static_cast<double>(calls.TrailingBytes));
  setGauge(metrics, "collected_bytes", static_cast<double>(edge.Relay.CollectedBytes));
  for (std::size_t i = 0; i < limits::MemoryUses; ++i)
    setGauge(metrics,
             std::string("memory_held_bytes_") + toString(static_cast<limits::MemoryUse>(i)),
             static_cast<double>(edge.Memory.Held[i]));
  setGauge(metrics, "memory_ceiling_bytes", static_cast<double>(edge.Memory.Ceiling));
  setGauge(metrics, "caller_connections",
           static_cast<double>(http::openConnections(*edge.Callers)));
  const net::PeerCounters &peers = net::counters(*edge.Peers);
  setGauge(metrics, "peer_connections", static_cast<double>(peers.ConnectionsOpen));
  setTotal(metrics, "peer_cut", "too_many_handshakes",
           static_cast<double>(peers.CutTooManyHandshakes));
  setTotal(metrics, "log_lines", "dropped", static_cast<double>(edge.Log.Dropped));
  return serialise(metrics);
}

} // namespace chervil::daemon
