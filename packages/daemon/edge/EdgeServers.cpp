// The addresses on which a node answers: callers, entry questions, readiness and operators.
#include "daemon/edge/EdgeDetail.h"

#include "membership/Queries.h"
#include "platform/EntryProtocol.h"
#include "platform/IngressProtocol.h"

namespace chervil::daemon::detail {
namespace {

using namespace std::chrono_literals;

// Callers keep the list this long, some three times as long. A shorter time makes them ask more
// often, a longer one keeps them at nodes that have left.
constexpr std::chrono::seconds EntryTtl{2};
constexpr std::size_t MaxEntryAddresses = 64;

void onCallerRequest(Edge &edge, http::Request &&request) {
  const relay::RequestId id = request.Id;
  const TimePoint started = request.Started;
  relay::RequestInfo info = adapter::readRequest(request);
  edge.Requests.emplace(id, std::move(request));
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
  auto started =
      http::startServer(edge.Loop, edge.Timers, {.Address = address, .MaxConnections = 500},
                        {.OnRequest = [&edge, &server, answer](http::Request &&request) {
                          http::respond(*server, request.Id, answer(edge, request));
                        }});
  if (!started)
    return tl::make_unexpected(started.error());
  server = std::move(*started);
  return {};
}

} // namespace

http::ServerLimits limitsOf(const relay::CallerLimits &limits) {
  return {.Read = {.HeaderBytes = limits.HeaderBytes, .BodyBytes = limits.BodyBytes},
          .HeaderTimeout = limits.HeaderTimeout,
          .IdleTimeout = limits.IdleTimeout};
}

Result<void> startServers(Edge &edge) {
  auto callers = http::startServer(
      edge.Loop, edge.Timers,
      {.Address = edge.Settings.Node.CallerListen, .Limits = limitsOf(relay::CallerLimits{})},
      {.OnRequest = [&edge](http::Request &&r) { onCallerRequest(edge, std::move(r)); },
       .OnGone = [&edge](std::uint64_t id) { onCallerGone(edge, id); },
       .OnRejected =
           [&edge](int status) {
             count(edge.Counters, "rejected_message", std::to_string(status));
             logLine(edge, "callers", "rejected_message", {{"status", std::to_string(status)}});
           }});
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
