#include "testing/standin/ModelServer.h"

#include <algorithm>
#include <utility>

namespace chervil::standin {
namespace {

Json log(const ModelServer &server) {
  Json list = Json::array();
  for (const auto &[id, it] : server.Log)
    list.push_back({{"request_id", it.RequestId},
                    {"arrived_ms", it.ArrivedMs},
                    {"started_ms", it.StartedMs},
                    {"ended_ms", it.EndedMs},
                    {"state", it.State},
                    {"tokens", it.Tokens},
                    {"continued", it.Continued},
                    {"priority", it.Priority}});
  return {{"requests", std::move(list)}};
}

Json counters(const ModelServer &server) {
  const ModelCounters &c = server.Counters;
  return {{"requests", c.Requests},
          {"done", c.Done},
          {"cancelled", c.Cancelled},
          {"tokens", c.Tokens},
          {"prefill_tokens", c.PrefillTokens},
          {"cached_tokens", c.CachedTokens},
          {"recomputed_tokens", c.RecomputedTokens},
          {"imported_tokens", c.ImportedTokens},
          {"bad_continuations", c.BadContinuations},
          {"orders", server.Orders.Orders.size()},
          {"orders_refused", server.Orders.Refused}};
}

void setFrozen(ModelServer &server, bool on) {
  server.Frozen = on;
  if (on)
    return;
  for (net::HttpRequest &it : std::exchange(server.Held, {}))
    detail::serveModelRequest(server, std::move(it));
  if (std::exchange(server.StepDue, false))
    server.StepRunning = false;
  detail::pump(server);
}

} // namespace

void detail::serveModelControl(ModelServer &server, const net::HttpRequest &request) {
  const std::string_view name = std::string_view(request.Path).substr(9);
  const auto ok = [&](const Json &json = Json::object()) {
    reply(*server.Http, request.Id, 200, json);
  };
  if (name == "log")
    return ok(log(server));
  if (name == "counters")
    return ok(counters(server));
  if (request.Method != "POST")
    return reply(*server.Http, request.Id, 404, {{"error", "path"}});
  if (name == "slow") {
    server.Options.Batch.SlowFactor = std::max(0.01, number<double>(request, "factor", 1));
    return ok();
  }
  if (name == "freeze") {
    setFrozen(server, text(request, "on") != "false");
    return ok();
  }
  if (name == "crash")
    crash("requested");
  if (name == "crash_marker") {
    server.Options.CrashMarker = text(request, "text");
    return ok();
  }
  if (name == "latency") {
    server.Latency = std::chrono::milliseconds(number<std::int64_t>(request, "ms", 0));
    return ok();
  }
  reply(*server.Http, request.Id, 404, {{"error", "path"}});
}

} // namespace chervil::standin
