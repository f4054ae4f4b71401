#include "daemon/Daemon.h"

#include "daemon/NodeOptions.h"
#include "daemon/ProcessUsage.h"
#include "membership/Queries.h"
#include "net/SocketAddress.h"

#include <arpa/inet.h>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <sstream>

namespace chervil::daemon {
namespace {

using namespace std::chrono_literals;

constexpr Duration TickPeriod = 20ms;
constexpr Duration LoadPeriod = 1s;
// Time for the last responses to leave the sockets.
constexpr Duration FlushTime = 300ms;

/// Ends the loop at `earliest` or later, when no caller waits for an answer.
void stopWhenQuiet(Daemon &daemon, TimePoint earliest) {
  net::after(daemon.Timers, FlushTime, [&daemon, earliest] {
    if (daemon.Stopping)
      return;
    const bool isQuiet = daemon.Node.Calls.empty() && daemon.Node.Executions.empty() &&
                         net::openRequests(*daemon.CallerServer) == 0;
    if (!isQuiet || net::readNow().Steady < earliest) {
      stopWhenQuiet(daemon, earliest);
      return;
    }
    daemon.Stopping = true;
    net::stop(daemon.Loop);
  });
}

std::uint64_t seedOf(const NodeSettings &settings, const Now &now) {
  return hashBytes(settings.Node.Name,
                   static_cast<std::uint64_t>(now.Wall.time_since_epoch().count()));
}

/// Carries out one effect.
struct Outward {
  Daemon &D;

  void operator()(const node::Begin &e) const { show(D.Callers, *D.CallerServer, e); }
  void operator()(const node::Bytes &e) const {
    if (const auto it = D.Times.find(e.Handle); it != D.Times.end() && !it->second.FirstByte) {
      it->second.FirstByte = true;
      observe(D.Counters.FirstByte, net::readNow().Steady - it->second.Started);
    }
    show(D.Callers, *D.CallerServer, e);
  }
  void operator()(const node::Finish &e) const {
    if (const auto it = D.Times.find(e.Handle); it != D.Times.end())
      observe(D.Counters.Request, net::readNow().Steady - it->second.Started);
    count(D.Counters, "answered", "whole");
    end(e);
  }
  void operator()(const node::Refuse &e) const { end(e); }
  void operator()(const node::Moved &e) const { end(e); }
  void operator()(const node::SendPeer &e) const { net::send(*D.Peers, e.Address, e.Body); }
  void operator()(const node::CallBackend &e) const {
    count(D.Counters, "backend_calls",
          e.Spec.Kind == message::WorkKind::Model ? "model" : "service");
    carryOut(D.Backends, e);
  }
  void operator()(const node::CancelBackend &e) const { carryOut(D.Backends, e); }
  void operator()(const node::ExportKv &e) const { carryOut(D.Backends, e); }
  void operator()(const node::WriteShardMap &e) const { writeShardMap(D.Feed, e); }
  void operator()(const node::IncrementCounter &e) const { count(D.Counters, e.Metric, e.Reason); }
  void operator()(const node::InvariantViolation &e) const {
    count(D.Counters, "invariant_violated", toString(e.Kind));
    if (D.Settings.Testing.FatalInvariants)
      LOG(FATAL) << "invariant: " << toString(e.Kind) << " is violated: " << e.Detail;
    LOG(ERROR) << "invariant: " << toString(e.Kind) << " is violated: " << e.Detail;
  }
  void operator()(const node::Stopped &) const {
    LOG(INFO) << "daemon: nothing is left to do, the node stops.";
    // Callers use the entry list they hold until it expires; their requests are refused until then.
    stopWhenQuiet(D, net::readNow().Steady + D.Settings.Requests.EntryTtl);
  }

private:
  template <typename T> void end(const T &e) const {
    D.Times.erase(e.Handle);
    show(D.Callers, *D.CallerServer, e);
  }
};

void measureLoad(Daemon &daemon) {
  const ProcessUsage usage = readProcessUsage();
  const Duration used = usage.Processor - daemon.LastProcessor;
  daemon.LastProcessor = usage.Processor;
  const auto percent = std::min<std::int64_t>(100, 100 * used.count() / LoadPeriod.count());
  deliver(daemon, node::OwnLoad{static_cast<std::uint8_t>(percent)});
  if (daemon.Node.Members.Replaced && !daemon.Stopping) {
    LOG(ERROR) << "daemon: a newer process has this node's name, the node stops.";
    daemon.Stopping = true;
    net::stop(daemon.Loop);
  }
}

Result<std::string> readFile(const std::string &path) {
  if (path.empty())
    return std::string();
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  if (!in)
    return fail(ResultCode::BadSetting, "cannot read " + path);
  return text.str();
}

Result<net::HttpServerOptions> serverOptions(const Daemon &daemon, const std::string &listen) {
  const auto address = net::parseAddress(listen);
  if (!address)
    return fail(ResultCode::BadSetting, "not an address: " + listen);
  const Result<std::string> certificate = readFile(daemon.Settings.Tls.Certificate);
  const Result<std::string> key = readFile(daemon.Settings.Tls.PrivateKey);
  if (!certificate || !key)
    return tl::make_unexpected(certificate ? key.error() : certificate.error());
  net::HttpServerOptions options;
  options.Address = listen.substr(0, listen.find(':'));
  options.Port = ntohs(address->sin_port);
  options.MaxBody = daemon.Settings.Requests.MaxBody;
  options.Certificate = *certificate;
  options.PrivateKey = *key;
  return options;
}

Result<void> startPeers(Daemon &daemon) {
  const NodeSection &node = daemon.Settings.Node;
  auto peers = net::startPeerTransport(
      daemon.Loop,
      {.Self = daemon.Node.Self,
       .DataCentre = node.DataCentre,
       .Listen = node.PeerListen,
       .Advertise = node.PeerAdvertise,
       .Secret = node.PeerSecret},
      {.OnMessage =
           [&daemon](const NodeId &from, const std::string &address, message::Message &&m) {
             deliver(daemon, node::PeerMessage{from, address, std::move(m)});
           },
       .OnUnreachable =
           [&daemon](const std::string &address) {
             deliver(daemon, node::PeerUnreachable{address});
           }});
  if (!peers)
    return tl::make_unexpected(peers.error());
  daemon.Peers = std::move(*peers);
  return {};
}

void onCallerRequest(Daemon &daemon, const net::HttpRequest &request) {
  if (request.Path != "/v1/entry")
    daemon.Times[request.Id].Started = net::readNow().Steady;
  onRequest(daemon.Callers, *daemon.CallerServer, request);
}

Result<void> startCallerServer(Daemon &daemon) {
  auto options = serverOptions(daemon, daemon.Settings.Node.CallerListen);
  if (!options)
    return tl::make_unexpected(options.error());
  auto server = net::startHttpServer(
      daemon.Loop, std::move(*options),
      {.OnRequest = [&daemon](net::HttpRequest &&r) { onCallerRequest(daemon, r); },
       .OnGone =
           [&daemon](std::uint64_t id) {
             daemon.Times.erase(id);
             onGone(daemon.Callers, id);
           }});
  if (!server)
    return tl::make_unexpected(server.error());
  daemon.CallerServer = std::move(*server);
  return {};
}

Result<void> startAdminServer(Daemon &daemon) {
  auto options = serverOptions(daemon, daemon.Settings.Node.AdminListen);
  if (!options)
    return tl::make_unexpected(options.error());
  auto server = net::startHttpServer(
      daemon.Loop, std::move(*options),
      {.OnRequest = [&daemon](net::HttpRequest &&r) { onRequest(daemon.Admin, r); }});
  if (!server)
    return tl::make_unexpected(server.error());
  daemon.AdminServer = std::move(*server);
  daemon.Admin.Server = daemon.AdminServer.get();
  return {};
}

void bindParts(Daemon &daemon) {
  const auto toNode = [&daemon](node::Event event) { deliver(daemon, std::move(event)); };
  daemon.Feed.Client = daemon.Platform.get();
  daemon.Feed.Timers = &daemon.Timers;
  daemon.Feed.Node = &daemon.Node;
  daemon.Feed.Deliver = toNode;
  daemon.Feed.HasCloud = !daemon.Settings.Platform.CloudUrl.empty();
  daemon.Backends.Http = daemon.Http.get();
  daemon.Backends.Platform = daemon.Platform.get();
  daemon.Backends.Deliver = toNode;
  daemon.Backends.ConnectTimeout = daemon.Settings.Requests.BackendConnectTimeout;
  daemon.Backends.IdleTimeout =
      std::chrono::duration_cast<std::chrono::seconds>(daemon.Settings.Requests.BackendIdleTimeout);
  daemon.Callers.Deliver = toNode;
  daemon.Callers.EntryTtl = daemon.Settings.Requests.EntryTtl;
  daemon.Callers.Addresses = [&daemon](std::string_view caller) {
    return node::entryAddresses(daemon.Node, caller);
  };
  daemon.Callers.CountRefusal = [&daemon](ResultCode code) {
    count(daemon.Counters, "refused", info(code).Name);
  };
}

void bindAdmin(Daemon &daemon) {
  AdminApi &admin = daemon.Admin;
  admin.Node = &daemon.Node;
  admin.Platform = daemon.Platform.get();
  admin.Timers = &daemon.Timers;
  admin.Rng = &daemon.AdminRng;
  admin.Token = daemon.Settings.Node.AdminToken;
  admin.Metrics = [&daemon] { return metricsText(daemon); };
  admin.Deliver = [&daemon](node::Event event) { deliver(daemon, std::move(event)); };
  admin.Leave = [&daemon](std::chrono::milliseconds within) { leave(daemon, within); };
  admin.CountRefusal = [&daemon](ResultCode code) {
    count(daemon.Counters, "refused", info(code).Name);
  };
}

platform::PlatformOptions platformOptions(const NodeSettings &settings, std::uint64_t seed) {
  platform::PlatformOptions options;
  options.KvUrl = settings.Platform.KvUrl;
  options.VmsUrl = settings.Platform.VmsUrl;
  options.CloudUrl = settings.Platform.CloudUrl;
  options.WeightsUrl = settings.Platform.WeightsUrl;
  options.CaFile = settings.Tls.Ca;
  options.RequestTimeout = settings.Platform.RequestTimeout;
  options.Seed = seed;
  return options;
}

} // namespace

Daemon::Daemon(NodeSettings settings) : Settings(std::move(settings)) {
  const Now now = net::readNow();
  Rng.seed(seedOf(Settings, now));
  AdminRng.seed(Rng());
  Node = node::makeState(selfOf(Settings, now), Settings.Node.Seeds, nodeOptions(Settings), now);
  Http = net::makeHttpClient(Loop, {.MaxIdleConnections = 1024, .CaFile = Settings.Tls.Ca});
  Platform = platform::makePlatformClient(Loop, Timers, platformOptions(Settings, Rng()));
}

Result<void> start(Daemon &daemon) {
  bindParts(daemon);
  bindAdmin(daemon);
  for (const auto step : {startPeers, startCallerServer, startAdminServer})
    if (Result<void> ok = step(daemon); !ok)
      return ok;
  net::every(daemon.Timers, TickPeriod, [&daemon] { deliver(daemon, node::Tick{}); });
  net::every(daemon.Timers, LoadPeriod, [&daemon] { measureLoad(daemon); });
  net::onSignal(daemon.Loop, SIGTERM,
                [&daemon] { leave(daemon, daemon.Settings.Requests.DrainTime); });
  net::onSignal(daemon.Loop, SIGINT,
                [&daemon] { leave(daemon, daemon.Settings.Requests.DrainTime); });
  start(daemon.Feed);
  LOG(INFO) << "daemon: node " << daemon.Node.Self.Name << " serves callers on "
            << daemon.Settings.Node.CallerListen << ".";
  return {};
}

void deliver(Daemon &daemon, node::Event event) {
  daemon.Pending.push_back(std::move(event));
  if (daemon.Handling)
    return;
  daemon.Handling = true;
  while (!daemon.Pending.empty()) {
    const node::Event next = std::move(daemon.Pending.front());
    daemon.Pending.pop_front();
    for (const node::Effect &it : node::handleEvent(daemon.Node, next, net::readNow(), daemon.Rng))
      std::visit(Outward{daemon}, it);
  }
  daemon.Handling = false;
}

void leave(Daemon &daemon, std::chrono::milliseconds within) {
  LOG(INFO) << "daemon: the node leaves within " << within.count() << " ms.";
  deliver(daemon, node::Leave{net::readNow().Wall + within});
  releaseDuties(daemon.Feed);
  net::after(daemon.Timers, within, [&daemon] {
    if (daemon.Stopping)
      return;
    LOG(WARNING) << "daemon: the drain time is over, the node stops.";
    daemon.Stopping = true;
    net::stop(daemon.Loop);
  });
}

std::string metricsText(Daemon &daemon) {
  Metrics &metrics = daemon.Counters;
  const node::State &node = daemon.Node;
  const ProcessUsage usage = readProcessUsage();
  setTotal(metrics, "process_cpu_seconds", "all",
           std::chrono::duration<double>(usage.Processor).count());
  setGauge(metrics, "process_resident_bytes", static_cast<double>(usage.ResidentBytes));
  setGauge(metrics, "open_calls", static_cast<double>(node.Calls.size()));
  setGauge(metrics, "executions", static_cast<double>(node.Executions.size()));
  setGauge(metrics, "records", static_cast<double>(node.Records.Records.size()));
  setGauge(metrics, "marks", static_cast<double>(node.Records.Marks.Entries.size()));
  setGauge(metrics, "answer_bytes", static_cast<double>(node.Records.AnswerBytes));
  setGauge(metrics, "live_members", static_cast<double>(membership::live(node.Members).size()));
  setGauge(metrics, "shard_map_version", static_cast<double>(node.Map.Version));
  setGauge(metrics, "documents", static_cast<double>(node.Documents.Documents.size()));
  for (const auto &[name, document] : node.Documents.Documents)
    setDocumentVersion(metrics, name, document.Version);
  const net::PeerCounters &peers = net::counters(*daemon.Peers);
  setTotal(metrics, "peer_bytes", "sent", static_cast<double>(peers.BytesSent));
  setTotal(metrics, "peer_bytes", "received", static_cast<double>(peers.BytesReceived));
  setTotal(metrics, "peer_cut", "bad_frame", static_cast<double>(peers.CutBadFrame));
  setTotal(metrics, "peer_cut", "too_large", static_cast<double>(peers.CutTooLarge));
  setTotal(metrics, "peer_cut", "auth_failed", static_cast<double>(peers.CutAuthFailed));
  setTotal(metrics, "peer_cut", "too_slow", static_cast<double>(peers.CutTooSlow));
  setTotal(metrics, "peer_cut", "queue_full", static_cast<double>(peers.CutQueueFull));
  const platform::CallCounters &calls = platform::counters(*daemon.Platform);
  for (std::size_t i = 0; i < platform::CallKindCount; ++i)
    setTotal(metrics, "platform_calls", platform::toString(static_cast<platform::CallKind>(i)),
             static_cast<double>(calls.Calls[i]));
  return serialise(metrics);
}

} // namespace chervil::daemon
