#include "testing/standin/PlatformServer.h"

#include "testing/standin/VmJson.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace chervil::standin {
namespace {

using namespace std::chrono_literals;

/// Bound on the delay of lease ends, reclaims and list changes.
constexpr Duration TickInterval = 10ms;
constexpr std::int64_t MaxWaitMs = 60000;

PlatformService serviceOf(const net::HttpRequest &request) {
  const std::string_view path = request.Path;
  if (path.starts_with("/v1/weights/"))
    return PlatformService::Weights;
  if (path == "/v1/vms" && request.Method == "GET")
    return PlatformService::Vms;
  if (path.starts_with("/v1/vms") || path == "/v1/notices" || path == "/v1/prices")
    return PlatformService::Cloud;
  return PlatformService::Kv;
}

PlatformService serviceOf(PollKind kind) {
  switch (kind) {
  case PollKind::Kv:
    return PlatformService::Kv;
  case PollKind::Vms:
    return PlatformService::Vms;
  case PollKind::Notices:
    return PlatformService::Cloud;
  }
  return PlatformService::Kv;
}

void count(PlatformServer &server, PlatformService service) {
  switch (service) {
  case PlatformService::Kv:
    ++server.Counters.Calls;
    return;
  case PlatformService::Vms:
    ++server.Counters.VmCalls;
    return;
  case PlatformService::Cloud:
    ++server.Counters.CloudCalls;
    return;
  case PlatformService::Weights:
    ++server.Counters.WeightCalls;
    return;
  }
}

void serve(PlatformServer &server, net::HttpRequest &&request) {
  if (request.Path.starts_with("/control/"))
    return detail::servePlatformControl(server, request);
  const PlatformService service = serviceOf(request);
  count(server, service);
  PlatformFaults &faults = server.Faults.at(static_cast<std::size_t>(service));
  if (faults.Outage == OutageMode::Hang) {
    faults.Held.push_back(request.Id);
    return;
  }
  if (faults.Outage == OutageMode::Refuse)
    return detail::answer(server, service, request.Id, 503, {{"error", "outage"}});
  if (service == PlatformService::Kv)
    return detail::serveKv(server, request);
  if (service == PlatformService::Weights)
    return detail::serveWeights(server, request);
  detail::serveCloud(server, request);
}

struct PollAnswer {
  int Status = 200;
  bool News = false;
  Json Body;
};

PollAnswer kvNews(const PlatformServer &server, const Poll &poll) {
  const auto events = eventsAfter(server.Kv, poll.Prefix, poll.After);
  if (!events)
    return {410, true, {{"revision", server.Kv.Revision}}};
  Json list = Json::array();
  for (const KvEvent &it : *events)
    list.push_back({{"key", it.Key},
                    {"value", it.Value ? Json(*it.Value) : Json()},
                    {"revision", it.Revision}});
  return {200, !events->empty(), {{"revision", server.Kv.Revision}, {"events", std::move(list)}}};
}

PollAnswer vmNews(const PlatformServer &server, const Poll &poll) {
  if (poll.After > server.Vms.ListRevision)
    return {410, true, {{"revision", server.Vms.ListRevision}}};
  std::vector<const ListedVm *> changed;
  for (const auto &[id, it] : server.Vms.List)
    if (it.Revision > poll.After)
      changed.push_back(&it);
  std::ranges::sort(changed, {}, &ListedVm::Revision);
  Json list = Json::array();
  for (const ListedVm *it : changed)
    list.push_back(toJson(it->It));
  return {200, !changed.empty(), {{"revision", server.Vms.ListRevision}, {"vms", std::move(list)}}};
}

PollAnswer noticeNews(const PlatformServer &server, const Poll &poll) {
  Json list = Json::array();
  for (const VmNotice &it : server.Vms.Notices)
    if (it.Seq > poll.After)
      list.push_back(
          {{"seq", it.Seq}, {"vm", it.Vm}, {"address", it.Address}, {"leave_by_ms", it.LeaveByMs}});
  const bool news = !list.empty();
  return {200, news, {{"seq", server.Vms.Notices.size()}, {"notices", std::move(list)}}};
}

PollAnswer newsFor(const PlatformServer &server, const Poll &poll) {
  switch (poll.Kind) {
  case PollKind::Kv:
    return kvNews(server, poll);
  case PollKind::Vms:
    return vmNews(server, poll);
  case PollKind::Notices:
    return noticeNews(server, poll);
  }
  return {};
}

void endPoll(PlatformServer &server, std::uint64_t id, const PollAnswer &news) {
  const auto it = server.Polls.find(id);
  const PlatformService service = serviceOf(it->second.Kind);
  net::cancel(server.Timers, it->second.Deadline);
  server.Polls.erase(it);
  detail::answer(server, service, id, news.Status, news.Body);
}

void tickAll(PlatformServer &server) {
  const Now now = net::readNow();
  if (expireLeases(server.Kv, now.Steady))
    detail::answerPolls(server, PollKind::Kv);
  if (tick(server.Vms, now))
    detail::answerPolls(server, PollKind::Vms);
}

} // namespace

void detail::answer(PlatformServer &server, PlatformService service, std::uint64_t id, int status,
                    const Json &json, net::NamedValues headers) {
  const Duration latency = server.Faults.at(static_cast<std::size_t>(service)).Latency;
  if (latency <= Duration::zero())
    return reply(*server.Http, id, status, json, std::move(headers));
  net::after(server.Timers, latency, [&server, id, status, json, headers = std::move(headers)] {
    reply(*server.Http, id, status, json, headers);
  });
}

void detail::startPoll(PlatformServer &server, const net::HttpRequest &request, Poll poll) {
  const std::uint64_t id = request.Id;
  const auto waitMs =
      std::clamp<std::int64_t>(number<std::int64_t>(request, "wait_ms", 0), 0, MaxWaitMs);
  const PollAnswer news = newsFor(server, poll);
  if (news.News || waitMs == 0)
    return answer(server, serviceOf(poll.Kind), id, news.Status, news.Body);
  poll.Deadline = net::after(server.Timers, std::chrono::milliseconds(waitMs), [&server, id] {
    if (const auto it = server.Polls.find(id); it != server.Polls.end())
      endPoll(server, id, newsFor(server, it->second));
  });
  server.Polls.emplace(id, std::move(poll));
}

void detail::answerPolls(PlatformServer &server, PollKind kind) {
  std::vector<std::pair<std::uint64_t, PollAnswer>> ready;
  for (const auto &[id, poll] : server.Polls)
    if (poll.Kind == kind)
      if (PollAnswer news = newsFor(server, poll); news.News)
        ready.emplace_back(id, std::move(news));
  for (const auto &[id, news] : ready)
    endPoll(server, id, news);
}

Result<std::unique_ptr<PlatformServer>> startPlatform(net::Loop &loop, PlatformOptions options) {
  auto server = std::make_unique<PlatformServer>(loop);
  server->Options = std::move(options);
  PlatformServer &it = *server;
  it.Vms.BootTime = it.Options.BootTime;
  it.Weights.BytesPerSecond = it.Options.WeightRate;
  it.Weights.MaxWaiting = it.Options.WeightWaiting;
  const Now now = net::readNow();
  for (const Json &vm : it.Options.Vms)
    registerVm(it.Vms, parseVm(vm), member(vm, "waiting", false), now);
  tick(it.Vms, now);
  auto http = net::startHttpServer(
      loop, {.Address = it.Options.Address, .Port = it.Options.Port},
      {.OnRequest = [&it](net::HttpRequest &&request) { serve(it, std::move(request)); },
       .OnGone =
           [&it](std::uint64_t id) {
             if (const auto poll = it.Polls.find(id); poll != it.Polls.end()) {
               net::cancel(it.Timers, poll->second.Deadline);
               it.Polls.erase(poll);
             }
           }});
  if (!http)
    return tl::make_unexpected(http.error());
  it.Http = std::move(*http);
  net::every(it.Timers, TickInterval, [&it] { tickAll(it); });
  return server;
}

} // namespace chervil::standin
