#include "testing/standin/PlatformServer.h"
#include "testing/standin/VmJson.h"

#include <glog/logging.h>
#include <utility>

namespace chervil::standin {
namespace {

constexpr std::array<const char *, PlatformServices> ServiceNames = {"kv", "vms", "cloud",
                                                                     "weights"};

template <typename F>
bool forServices(PlatformServer &server, const net::HttpRequest &request, F &&f) {
  const std::string name = text(request, "service");
  bool found = false;
  for (std::size_t i = 0; i < PlatformServices; ++i)
    if (name.empty() || name == "all" || name == ServiceNames.at(i)) {
      f(server.Faults.at(i));
      found = true;
    }
  return found;
}

Json counters(const PlatformServer &server) {
  const PlatformCounters &c = server.Counters;
  std::size_t waiting = 0;
  for (const auto &[id, poll] : server.Polls)
    waiting += poll.Kind == PollKind::Kv ? 1 : 0;
  return {{"calls", c.Calls},
          {"reads", c.Reads},
          {"writes", c.Writes},
          {"lists", c.Lists},
          {"watches", c.Watches},
          {"watches_waiting", waiting},
          {"lease_calls", c.LeaseCalls},
          {"conflicts", c.Conflicts},
          {"lost_answers", c.LostAnswers},
          {"vm_calls", c.VmCalls},
          {"cloud_calls", c.CloudCalls},
          {"weight_calls", c.WeightCalls}};
}

Json allVms(const PlatformServer &server) {
  Json vms = Json::array();
  Json waiting = Json::array();
  Json pending = Json::array();
  for (const auto &[id, vm] : server.Vms.Vms)
    vms.push_back(toJson(vm));
  for (const Vm &vm : server.Vms.Waiting)
    waiting.push_back(toJson(vm));
  for (const VmGrant &it : server.Vms.Grants)
    pending.push_back({{"id", it.Id},
                       {"zone", it.Order.Zone},
                       {"class", it.Order.Class},
                       {"role", it.Order.Role},
                       {"target", it.Order.Target},
                       {"reclaimable", it.Order.Reclaimable}});
  return {
      {"vms", std::move(vms)}, {"waiting", std::move(waiting)}, {"pending", std::move(pending)}};
}

bool setOutage(PlatformServer &server, const net::HttpRequest &request) {
  const std::string mode = text(request, "mode");
  if (mode != "off" && mode != "refuse" && mode != "hang")
    return false;
  std::vector<std::uint64_t> held;
  const bool found = forServices(server, request, [&](PlatformFaults &faults) {
    faults.Outage = mode == "off"      ? OutageMode::Off
                    : mode == "refuse" ? OutageMode::Refuse
                                       : OutageMode::Hang;
    for (const std::uint64_t id : std::exchange(faults.Held, {}))
      held.push_back(id);
  });
  for (const std::uint64_t id : held)
    reply(*server.Http, id, 503, {{"error", "outage"}});
  if (mode == "off")
    return found;
  for (auto it = server.Polls.begin(); it != server.Polls.end();) {
    const auto service = it->second.Kind == PollKind::Kv    ? PlatformService::Kv
                         : it->second.Kind == PollKind::Vms ? PlatformService::Vms
                                                            : PlatformService::Cloud;
    if (server.Faults.at(static_cast<std::size_t>(service)).Outage == OutageMode::Off) {
      ++it;
      continue;
    }
    net::cancel(server.Timers, it->second.Deadline);
    net::abortStream(*server.Http, it->first);
    it = server.Polls.erase(it);
  }
  return found;
}

Json doReclaim(PlatformServer &server, const net::HttpRequest &request) {
  const double seconds = number<double>(request, "notice_s", 0);
  const auto notice = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  const auto ids = reclaim(server.Vms,
                           {.Zone = text(request, "zone"),
                            .Vm = text(request, "vm"),
                            .Notice = notice,
                            .All = text(request, "all") == "true"},
                           net::readNow());
  LOG(INFO) << "platform: " << ids.size() << " VMs reclaimed with " << seconds << " s notice";
  detail::answerPolls(server, PollKind::Notices);
  return {{"vms", ids}};
}

void doRefuse(PlatformServer &server, const net::HttpRequest &request) {
  const bool on = text(request, "on") != "false";
  const std::string zone = text(request, "zone");
  if (zone == "*")
    server.Vms.RefuseAll = on;
  else if (on)
    server.Vms.RefusedZones.insert(zone);
  else
    server.Vms.RefusedZones.erase(zone);
}

} // namespace

void detail::servePlatformControl(PlatformServer &server, const net::HttpRequest &request) {
  const std::string_view name = std::string_view(request.Path).substr(9);
  const auto ok = [&](const Json &json = Json::object()) {
    reply(*server.Http, request.Id, 200, json);
  };
  const auto bad = [&](const char *what) {
    reply(*server.Http, request.Id, 400, {{"error", what}});
  };
  if (name == "counters")
    return ok(counters(server));
  if (name == "vms")
    return ok(allVms(server));
  if (request.Method != "POST")
    return reply(*server.Http, request.Id, 404, {{"error", "path"}});
  if (name == "counters/reset") {
    server.Counters = {};
    return ok();
  }
  if (name == "latency") {
    const Duration latency = std::chrono::milliseconds(number<std::int64_t>(request, "ms", 0));
    return forServices(server, request, [&](PlatformFaults &it) { it.Latency = latency; })
               ? ok()
               : bad("service");
  }
  if (name == "outage")
    return setOutage(server, request) ? ok() : bad("service or mode");
  if (name == "lose_answers") {
    server.AnswersToLose = number<std::uint64_t>(request, "writes", 0);
    return ok();
  }
  if (name == "vm_lag") {
    server.Vms.Lag = std::chrono::milliseconds(number<std::int64_t>(request, "ms", 0));
    return ok();
  }
  if (name == "refuse") {
    doRefuse(server, request);
    return ok();
  }
  if (name == "reclaim")
    return ok(doReclaim(server, request));
  if (name == "register") {
    const auto body = parseObject(request.Body);
    if (!body || member(*body, "address", std::string()).empty())
      return bad("address");
    return ok({{"id", registerVm(server.Vms, parseVm(*body), member(*body, "waiting", false),
                                 net::readNow())}});
  }
  reply(*server.Http, request.Id, 404, {{"error", "path"}});
}

} // namespace chervil::standin
