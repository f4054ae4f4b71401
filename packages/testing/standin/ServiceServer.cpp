#include "testing/standin/ServiceServer.h"

#include "base/Hash.h"
#include "testing/standin/Json.h"

#include <array>
#include <glog/logging.h>
#include <unistd.h>
#include <utility>

namespace chervil::standin {
namespace {

using namespace std::chrono_literals;

constexpr Duration SampleInterval = 50ms;

void answer(ServiceServer &server, std::uint64_t id, int status, const Json &json) {
  ++server.Open;
  net::after(server.Timers, server.Options.Latency, [&server, id, status, json] {
    --server.Open;
    const TimePoint now = net::readNow().Steady;
    reply(*server.Http, id, status, json,
          {{"X-Engine-Load", loadHeader(reported(server.Load, now), now)}});
  });
}

/// True if the fault ends the call at this point; a fault that kills the process does not return.
bool failsAt(ServiceServer &server, std::uint64_t id, ServiceFault die, ServiceFault drop) {
  if (server.FaultsLeft == 0 || (server.Fault != die && server.Fault != drop))
    return false;
  --server.FaultsLeft;
  if (server.Fault == die) {
    constexpr int killedStatus = 137;
    LOG(ERROR) << "service: crash: requested";
    _exit(killedStatus);
  }
  net::abortStream(*server.Http, id);
  return true;
}

void execute(ServiceServer &server, const net::HttpRequest &request) {
  const auto key = net::header(request, "idempotency-key");
  const auto body = parseObject(request.Body);
  const auto id = body ? body->find("id") : Json::const_iterator();
  if (!key || !body || id == body->end() || !(id->is_string() || id->is_number_integer()))
    return answer(server, request.Id, 400, {{"error", "key or id"}});
  if (failsAt(server, request.Id, ServiceFault::DieBefore, ServiceFault::DropBefore))
    return;
  countExecution(server.Done, std::string(*key));
  if (failsAt(server, request.Id, ServiceFault::DieAfter, ServiceFault::DropAfter))
    return;
  answer(server, request.Id, 201, {{"id", *id}, {"reference", hashPair(request.Path, dump(*id))}});
}

bool setFault(ServiceServer &server, const net::HttpRequest &request) {
  constexpr std::array<std::pair<const char *, ServiceFault>, 5> names = {
      {{"none", ServiceFault::None},
       {"die_before", ServiceFault::DieBefore},
       {"die_after", ServiceFault::DieAfter},
       {"drop_before", ServiceFault::DropBefore},
       {"drop_after", ServiceFault::DropAfter}}};
  const std::string mode = text(request, "mode");
  for (const auto &[name, fault] : names)
    if (mode == name) {
      server.Fault = fault;
      server.FaultsLeft = number<std::uint64_t>(request, "count", 1);
      return true;
    }
  return false;
}

void control(ServiceServer &server, const net::HttpRequest &request) {
  const std::string_view name = std::string_view(request.Path).substr(9);
  const auto ok = [&](const Json &json = Json::object()) {
    reply(*server.Http, request.Id, 200, json);
  };
  if (name == "executions")
    return ok({{"executions", server.Done.ByKey}});
  if (name == "latency" && request.Method == "POST") {
    server.Options.Latency = std::chrono::milliseconds(number<std::int64_t>(request, "ms", 0));
    return ok();
  }
  if (name == "fail" && request.Method == "POST" && setFault(server, request))
    return ok();
  reply(*server.Http, request.Id, 404, {{"error", "path or mode"}});
}

void serve(ServiceServer &server, const net::HttpRequest &request) {
  constexpr std::string_view statusPath = "/status/";
  constexpr std::string_view balancePath = "/balance/";
  constexpr std::array statuses = {"queued", "started", "finished"};
  const std::string_view path = request.Path;
  if (path.starts_with("/control/"))
    return control(server, request);
  if (request.Method == "GET" && path.starts_with(statusPath)) {
    const std::string id(path.substr(statusPath.size()));
    return answer(server, request.Id, 200,
                  {{"id", id}, {"status", statuses.at(hashBytes(id) % statuses.size())}});
  }
  if (request.Method == "GET" && path.starts_with(balancePath)) {
    const std::string id(path.substr(balancePath.size()));
    return answer(server, request.Id, 200, {{"id", id}, {"balance", hashBytes(id) % 100000}});
  }
  if (request.Method == "POST" && (path == "/bookings" || path == "/agreements"))
    return execute(server, request);
  answer(server, request.Id, 404, {{"error", "path"}});
}

void sample(ServiceServer &server) {
  LoadFigures figures;
  figures.Running = server.Open;
  figures.Slots = server.Options.Slots;
  addSample(server.Load, figures, net::readNow().Steady);
}

} // namespace

Result<std::unique_ptr<ServiceServer>> startService(net::Loop &loop, ServiceOptions options) {
  auto server = std::make_unique<ServiceServer>(loop);
  ServiceServer &it = *server;
  it.Options = std::move(options);
  it.Client = net::makeHttpClient(loop, {});
  it.Done = loadExecutions(it.Options.ExecutionsFile);
  it.Load.Lag = it.Options.ReportLag;
  auto http = net::startHttpServer(
      loop, {.Address = it.Options.Address, .Port = it.Options.Port},
      {.OnRequest = [&it](net::HttpRequest &&request) { serve(it, request); }, .OnGone = {}});
  if (!http)
    return tl::make_unexpected(http.error());
  it.Http = std::move(*http);
  sample(it);
  net::every(it.Timers, SampleInterval, [&it] { sample(it); });
  Vm &vm = it.Options.Register.It;
  vm.Role = "service";
  vm.Address = it.Options.Address + ":" + std::to_string(net::port(*it.Http));
  vm.Target = {it.Options.Name};
  vm.Slots = it.Options.Slots;
  registerWith(*it.Client, it.Timers, it.Options.Register);
  return server;
}

} // namespace chervil::standin
