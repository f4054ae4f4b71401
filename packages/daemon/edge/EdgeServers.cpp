// The addresses on which a node answers: callers, entry questions, readiness and operators.
#include "daemon/edge/EdgeDetail.h"

#include "membership/Queries.h"
#include "platform/EntryProtocol.h"
#include "platform/IngressProtocol.h"

#include <algorithm>
#include <memory>

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Callers keep the list this long, some three times as long. A shorter time makes them ask more
// often, a longer one keeps them at nodes that have left.
constexpr std::chrono::seconds EntryTtl{2};
constexpr std::size_t MaxEntryAddresses = 64;
// Descriptors that are not sockets: the platform reserves as many for files.
constexpr std::size_t FileDescriptors = 200;
// A connection in each direction.
constexpr std::size_t SocketsPerNode = 2;
// Part of the sockets up to which connections are accepted, and part that callers may have. The
// rest is left to calls that pass requests on, to health checks and to operators.
constexpr double MaxAcceptFraction = 0.9;
// The same for the listeners that are left: all sockets.
constexpr double MaxQuestionFraction = 1.0;
constexpr double CallerFraction = 0.75;
// A client address may have this part of the connections of all callers.
constexpr double AddressFraction = 0.5;
// Listeners other than that of the callers read short questions only.
constexpr std::uint64_t MaxQuestionBytes = 16 * 1024;
constexpr std::size_t MaxQuestionConnections = 500;
// Bounds on the log lines about clients that are turned away.
constexpr Duration ShedLogPeriod = 10s;
constexpr std::size_t MaxShedAddresses = 256;

void onCallerRequest(Edge &edge, http::Request &&request) {
  const relay::RequestId id = request.Id;
  const TimePoint started = request.Started;
  relay::RequestInfo info = adapter::readRequest(request);
  edge.Requests.emplace(
      id, OpenRequest{std::move(request.Head),
                      std::make_shared<const std::string>(std::move(request.Body)), started});
  handle(edge, [&edge, id, started, info = std::move(info)](relay::Effects &out, const Now &now) {
    if (edge.Requests.contains(id))
      relay::onRequest(edge.Relay, id, info, started, out, now, edge.Rng);
  });
}

void onCallerGone(Edge &edge, relay::RequestId id) {
  edge.Requests.erase(id);
  handle(edge, [&edge, id](relay::Effects &out, const Now &now) {
    relay::onCallerGone(edge.Relay, id, out, now);
  });
}

/// Counts a client that was turned away, and logs it once per address and ShedLogPeriod.
void onShed(Edge &edge, const std::string &address, http::Shed reason) {
  count(edge.Counters, "client_shed", http::toString(reason));
  const TimePoint now = net::readNow().Steady;
  if (edge.ShedLogged.size() >= MaxShedAddresses)
    std::erase_if(edge.ShedLogged, [&](const auto &it) { return now - it.second > ShedLogPeriod; });
  const auto known = edge.ShedLogged.find(address);
  const bool isKnown = known != edge.ShedLogged.end();
  if ((isKnown && now - known->second <= ShedLogPeriod) ||
      (!isKnown && edge.ShedLogged.size() >= MaxShedAddresses))
    return;
  edge.ShedLogged[address] = now;
  logLine(edge, "callers", "client_shed",
          {{"address", address},
           {"reason", http::toString(reason)},
           {"held_bytes", std::to_string(limits::heldBytes(edge.Memory))},
           {"ceiling_bytes", std::to_string(edge.Memory.Ceiling)},
           {"connections", std::to_string(http::openConnections(*edge.Callers))}});
}

/// True while less than this part of the sockets is used.
bool mayAccept(const Edge &edge, double fraction) {
  std::size_t open =
      http::openConnections(*edge.Backends) + http::openConnections(*edge.Platform) +
      std::max(SocketsPerNode * edge.Relay.LiveNodes, net::counters(*edge.Peers).ConnectionsOpen);
  for (const http::ServerPtr *it : {&edge.Callers, &edge.Ready, &edge.Entry, &edge.Admin})
    open += *it == nullptr ? 0 : http::openConnections(**it);
  return static_cast<double>(open) < fraction * static_cast<double>(maxSockets(edge));
}

http::Response answerEntry(Edge &edge, const http::Request &request) {
  const auto question = adapter::readEntryQuestion(request.Head);
  if (!question)
    return adapter::notFoundResponse();
  std::vector<std::string> addresses;
  for (const membership::Member *it :
       membership::entryList(edge.Members, question->DataCentre, MaxEntryAddresses))
    addresses.push_back(it->Info.CallerAddress);
  return adapter::entryResponse(addresses, EntryTtl);
}

http::Response answerReady(Edge &edge, const http::Request &request) {
  if (!adapter::isReadinessCheck(request.Head))
    return adapter::notFoundResponse();
  return adapter::readinessResponse(isReady(edge));
}

http::Response answerAdmin(Edge &edge, const http::Request &request) {
  if (http::pathOf(request.Head.Target) != "/metrics")
    return adapter::notFoundResponse();
  return {.Status = 200,
          .Fields = {{"Content-Type", "text/plain; version=0.0.4"}},
          .Body = metricsText(edge),
          .Close = false};
}

using Answer = http::Response (*)(Edge &edge, const http::Request &request);

/// A server whose requests are answered at once.
Result<void> startSimple(Edge &edge, http::ServerPtr &server, const std::string &address,
                         Answer answer) {
  http::ServerOptions options;
  options.Address = address;
  options.Limits.Read = {.HeaderBytes = MaxQuestionBytes, .BodyBytes = MaxQuestionBytes};
  options.MaxConnections = std::min(MaxQuestionConnections, maxSockets(edge) / 4);
  options.MaxConnectionsPerAddress = options.MaxConnections;
  options.Memory = &edge.Memory;
  options.MayAccept = [&edge] { return mayAccept(edge, MaxQuestionFraction); };
  auto started = http::startServer(edge.Loop, edge.Timers, std::move(options),
                                   {.OnRequest = [&edge, &server, answer](http::Request &&request) {
                                     http::respond(*server, request.Id, answer(edge, request));
                                   }});
  if (!started)
    return tl::make_unexpected(started.error());
  server = std::move(*started);
  return {};
}

} // namespace

std::size_t maxSockets(const Edge &edge) {
  const std::size_t descriptors = edge.Settings.Edge.MaxDescriptors;
  return descriptors > FileDescriptors ? descriptors - FileDescriptors : 1;
}

http::ServerLimits limitsOf(const relay::CallerLimits &limits) {
  return {.Read = {.HeaderBytes = limits.HeaderBytes, .BodyBytes = limits.BodyBytes},
          .HeaderTimeout = limits.HeaderTimeout,
          .IdleTimeout = limits.IdleTimeout};
}

Result<void> startServers(Edge &edge) {
  http::ServerOptions options;
  options.Address = edge.Settings.Node.CallerListen;
  options.Limits = limitsOf(relay::CallerLimits{});
  options.MaxConnections =
      static_cast<std::size_t>(CallerFraction * static_cast<double>(maxSockets(edge)));
  options.MaxConnectionsPerAddress =
      static_cast<std::size_t>(AddressFraction * static_cast<double>(options.MaxConnections));
  options.Memory = &edge.Memory;
  options.MayAccept = [&edge] { return mayAccept(edge, MaxAcceptFraction); };
  auto callers = http::startServer(
      edge.Loop, edge.Timers, std::move(options),
      {.OnRequest = [&edge](http::Request &&r) { onCallerRequest(edge, std::move(r)); },
       .OnGone = [&edge](std::uint64_t id) { onCallerGone(edge, id); },
       .OnRejected =
           [&edge](int status) {
             count(edge.Counters, "rejected_message", std::to_string(status));
             logLine(edge, "callers", "rejected_message", {{"status", std::to_string(status)}});
           },
       .OnShed = [&edge](const std::string &address,
                         http::Shed reason) { onShed(edge, address, reason); }});
  if (!callers)
    return tl::make_unexpected(callers.error());
  edge.Callers = std::move(*callers);
  if (auto ok = startSimple(edge, edge.Ready, edge.Settings.Edge.ReadyListen, answerReady); !ok)
    return ok;
  if (auto ok = startSimple(edge, edge.Entry, edge.Settings.Edge.EntryListen, answerEntry); !ok)
    return ok;
  return startSimple(edge, edge.Admin, edge.Settings.Node.AdminListen, answerAdmin);
}

} // namespace chervil::daemon::detail
