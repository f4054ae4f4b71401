#include "testing/standin/ModelServer.h"

#include "base/Hash.h"

#include <cstdio>
#include <glog/logging.h>
#include <unistd.h>
#include <utility>

namespace chervil::standin {
namespace {

using namespace std::chrono_literals;

constexpr Duration SampleInterval = 50ms;

void sample(ModelServer &server) {
  LoadFigures figures;
  figures.Running = server.Work.Running.size();
  figures.Queued = server.Work.Queue.size();
  figures.Slots = server.Work.Slots;
  for (const auto &[order, it] : server.Work.Queue)
    figures.QueuedTokens += it.End - it.Next;
  for (const BatchWork &it : server.Work.Running)
    figures.PrefillTokens += it.PrefillLeft;
  figures.TokensPerSecond = static_cast<double>(server.Counters.Tokens - server.TokensAtSample) /
                            std::chrono::duration<double>(SampleInterval).count();
  server.TokensAtSample = server.Counters.Tokens;
  figures.CacheTokens = server.Cache.Blocks.size() * CacheBlockTokens;
  addSample(server.Load, figures, net::readNow().Steady);
}

void serveLoad(ModelServer &server, const net::HttpRequest &request) {
  const TimePoint now = net::readNow().Steady;
  const LoadSample it = reported(server.Load, now);
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - it.At);
  detail::answer(server, request.Id, 200,
                 {{"running", it.Figures.Running},
                  {"queued", it.Figures.Queued},
                  {"slots", it.Figures.Slots},
                  {"queued_tokens", it.Figures.QueuedTokens},
                  {"prefill_tokens", it.Figures.PrefillTokens},
                  {"tokens_per_s", it.Figures.TokensPerSecond},
                  {"cache_tokens", it.Figures.CacheTokens},
                  {"cache_capacity", server.Options.CacheTokens},
                  {"models", server.Models},
                  {"role", server.Role},
                  {"age_ms", age.count()}});
}

std::string hex(std::uint64_t value) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(value));
  return buf;
}

/// Answers with the events shown so far, or waits for more until `until`.
void serveCacheEvents(ModelServer &server, std::uint64_t httpId, std::uint64_t after,
                      TimePoint until) {
  static constexpr Duration pollInterval = 20ms;
  const TimePoint now = net::readNow().Steady;
  Json events = Json::array();
  std::uint64_t seq = after;
  for (const CacheEvent &it : server.CacheEvents) {
    if (it.Seq <= after || it.ShownAt > now)
      continue;
    seq = it.Seq;
    events.push_back({{"seq", it.Seq},
                      {"kind", it.Change.Added ? "add" : "evict"},
                      {"prefix", hex(it.Change.Block.Hash)},
                      {"tokens", it.Change.Block.Tokens}});
  }
  if (!events.empty() || now >= until)
    return detail::answer(server, httpId, 200, {{"seq", seq}, {"events", std::move(events)}});
  net::after(server.Timers, pollInterval,
             [&server, httpId, after, until] { serveCacheEvents(server, httpId, after, until); });
}

void serveCancel(ModelServer &server, const net::HttpRequest &request) {
  const std::string requestId = request.Path.substr(std::string_view("/v1/requests/").size());
  const auto it = server.ByRequestId.find(requestId);
  if (request.Method != "DELETE" || it == server.ByRequestId.end())
    return detail::answer(server, request.Id, 404, {{"error", "request_id"}});
  const std::uint32_t tokens = server.Requests.at(it->second).Produced;
  detail::cancelRequest(server, it->second);
  detail::answer(server, request.Id, 200, {{"request_id", requestId}, {"tokens", tokens}});
}

void receive(ModelServer &server, net::HttpRequest &&request) {
  if (request.Path.starts_with("/control/"))
    return detail::serveModelControl(server, request);
  if (server.Frozen) {
    server.Held.push_back(std::move(request));
    return;
  }
  if (server.Latency <= Duration::zero())
    return detail::serveModelRequest(server, std::move(request));
  net::after(server.Timers, server.Latency,
             [&server, later = std::make_shared<net::HttpRequest>(std::move(request))] {
               detail::serveModelRequest(server, std::move(*later));
             });
}

} // namespace

void detail::answer(ModelServer &server, std::uint64_t httpId, int status, const Json &json,
                    net::NamedValues headers) {
  const TimePoint now = net::readNow().Steady;
  headers.emplace_back("X-Engine-Load", loadHeader(reported(server.Load, now), now));
  reply(*server.Http, httpId, status, json, std::move(headers));
}

void detail::serveModelRequest(ModelServer &server, net::HttpRequest &&request) {
  if (request.Path == "/v1/chat/completions" && request.Method == "POST")
    return serveCompletion(server, request);
  if (request.Path == "/v1/load")
    return serveLoad(server, request);
  if (request.Path.starts_with("/v1/requests/"))
    return serveCancel(server, request);
  if (request.Path == "/v1/cache/events") {
    const std::chrono::milliseconds wait(number<std::int64_t>(request, "wait_ms", 0));
    return serveCacheEvents(server, request.Id, number<std::uint64_t>(request, "after", 0),
                            net::readNow().Steady + wait);
  }
  if (request.Path.starts_with("/v1/kv/"))
    return serveKvTransfer(server, request);
  if (request.Path.starts_with("/v1/orders"))
    return serveOrders(server, request);
  answer(server, request.Id, 404, {{"error", "path"}});
}

void detail::crash(const char *reason) {
  LOG(ERROR) << "model: crash: " << reason;
  google::FlushLogFiles(google::INFO);
  constexpr int killedStatus = 137;
  _exit(killedStatus);
}

Result<std::unique_ptr<ModelServer>> startModel(net::Loop &loop, ModelOptions options) {
  auto server = std::make_unique<ModelServer>(loop);
  ModelServer &it = *server;
  it.Options = std::move(options);
  it.Client = net::makeHttpClient(loop, {});
  it.Rng.seed(hashBytes(it.Options.Name));
  it.Work.Slots = it.Options.Batch.Slots;
  it.Cache.MaxBlocks = it.Options.CacheTokens / CacheBlockTokens;
  it.Load.Lag = it.Options.ReportLag;
  if (!it.Options.Model.empty())
    it.Models.push_back(it.Options.Model);
  auto http = net::startHttpServer(
      loop, {.Address = it.Options.Address, .Port = it.Options.Port},
      {.OnRequest = [&it](net::HttpRequest &&request) { receive(it, std::move(request)); },
       .OnGone =
           [&it](std::uint64_t httpId) {
             if (const auto found = it.ByHttpId.find(httpId); found != it.ByHttpId.end())
               detail::cancelRequest(it, found->second);
           }});
  if (!http)
    return tl::make_unexpected(http.error());
  it.Http = std::move(*http);
  sample(it);
  net::every(it.Timers, SampleInterval, [&it] { sample(it); });
  Vm &vm = it.Options.Register.It;
  vm.Role = "model";
  vm.Address = it.Options.Address + ":" + std::to_string(net::port(*it.Http));
  if (!it.Options.Model.empty())
    vm.Target = {it.Options.Model};
  vm.Slots = static_cast<unsigned>(it.Options.Batch.Slots);
  vm.ChecksFencing = it.Options.CheckFencing;
  registerWith(*it.Client, it.Timers, it.Options.Register);
  return server;
}

} // namespace chervil::standin
