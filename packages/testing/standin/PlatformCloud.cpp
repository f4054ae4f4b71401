#include "testing/standin/PlatformServer.h"
#include "testing/standin/VmJson.h"

#include <set>
#include <tuple>

namespace chervil::standin {
namespace {

constexpr std::string_view VmPath = "/v1/vms/";
constexpr std::string_view WeightPath = "/v1/weights/";

/// The stated prices, and the ones of VMs of other kinds.
Json prices(const PlatformServer &server) {
  Json list = server.Options.Prices;
  std::set<std::tuple<std::string, std::string, bool>> known;
  for (const Json &it : list)
    known.emplace(member(it, "zone", std::string()), member(it, "class", std::string()),
                  member(it, "reclaimable", false));
  const auto add = [&](const Vm &vm) {
    if (known.emplace(vm.Zone, vm.Class, vm.Reclaimable).second)
      list.push_back({{"zone", vm.Zone},
                      {"class", vm.Class},
                      {"reclaimable", vm.Reclaimable},
                      {"price_per_hour", vm.PricePerHour}});
  };
  for (const auto &[id, vm] : server.Vms.Vms)
    add(vm);
  for (const Vm &vm : server.Vms.Waiting)
    add(vm);
  return list;
}

void serveVmRequest(PlatformServer &server, const net::HttpRequest &request) {
  const auto body = parseObject(request.Body);
  if (!body || member(*body, "request_id", std::string()).empty())
    return detail::answer(server, PlatformService::Cloud, request.Id, 400,
                          {{"error", "request_id"}});
  const auto id = requestVm(server.Vms,
                            {.RequestId = member(*body, "request_id", std::string()),
                             .Zone = member(*body, "zone", std::string()),
                             .Class = member(*body, "class", std::string()),
                             .Role = member(*body, "role", std::string()),
                             .Target = parseTarget(*body),
                             .Reclaimable = member(*body, "reclaimable", false)},
                            net::readNow());
  if (!id)
    return detail::answer(server, PlatformService::Cloud, request.Id, 503,
                          {{"reason", "no_capacity"}});
  detail::answer(server, PlatformService::Cloud, request.Id, 202, {{"id", *id}});
}

} // namespace

void detail::serveCloud(PlatformServer &server, const net::HttpRequest &request) {
  if (request.Path == "/v1/vms" && request.Method == "GET")
    return startPoll(server, request,
                     {.Kind = PollKind::Vms, .After = number<std::uint64_t>(request, "after", 0)});
  if (request.Path == "/v1/notices" && request.Method == "GET")
    return startPoll(
        server, request,
        {.Kind = PollKind::Notices, .After = number<std::uint64_t>(request, "after", 0)});
  if (request.Path == "/v1/vms" && request.Method == "POST")
    return serveVmRequest(server, request);
  if (request.Path == "/v1/prices" && request.Method == "GET")
    return answer(server, PlatformService::Cloud, request.Id, 200, {{"prices", prices(server)}});
  if (request.Path.starts_with(VmPath) && request.Method == "DELETE") {
    const std::string id = request.Path.substr(VmPath.size());
    if (!releaseVm(server.Vms, id, net::readNow()))
      return answer(server, PlatformService::Cloud, request.Id, 404, {{"error", "vm"}});
    return answer(server, PlatformService::Cloud, request.Id, 202, {{"id", id}});
  }
  answer(server, PlatformService::Cloud, request.Id, 404, {{"error", "path"}});
}

void detail::serveWeights(PlatformServer &server, const net::HttpRequest &request) {
  const std::string model = request.Path.substr(WeightPath.size());
  const auto stated = server.Options.Weights.find(model);
  const double bytes =
      stated == server.Options.Weights.end() ? server.Options.WeightBytes : stated->second;
  const TimePoint now = net::readNow().Steady;
  const auto end = queueTransfer(server.Weights, bytes, now);
  if (!end)
    return answer(server, PlatformService::Weights, request.Id, 429, {{"error", "busy"}},
                  {{"Retry-After", std::to_string(retryAfter(server.Weights, now).count())}});
  net::after(server.Timers, *end - now, [&server, id = request.Id, model, bytes] {
    answer(server, PlatformService::Weights, id, 200,
           {{"model", model}, {"bytes", static_cast<std::uint64_t>(bytes)}});
  });
}

} // namespace chervil::standin
