#include "testing/standin/LinkServer.h"

#include "testing/standin/Json.h"

namespace chervil::standin {
namespace {

Json routes(const LinkServer &server) {
  Json list = Json::array();
  for (const LinkPtr &it : server.Links)
    list.push_back(
        {{"name", it->Options.Name},
         {"listen", it->Options.Listen},
         {"to", it->Options.To},
         {"delay_ms", std::chrono::duration<double, std::milli>(it->Options.Delay).count()},
         {"connections", it->Pairs.size()},
         {"bytes", it->Bytes},
         {"cut", it->Cut},
         {"stalled", it->Stalled}});
  return {{"routes", std::move(list)}};
}

void serve(LinkServer &server, const net::HttpRequest &request) {
  if (request.Path == "/control/counters")
    return reply(*server.Http, request.Id, 200, routes(server));
  const std::string name = text(request, "name");
  const bool on = text(request, "on") != "false";
  const std::chrono::duration<double, std::milli> delay(number<double>(request, "ms", 0));
  std::size_t changed = 0;
  for (const LinkPtr &it : server.Links) {
    if (request.Method != "POST" || (!name.empty() && it->Options.Name != name))
      continue;
    ++changed;
    if (request.Path == "/control/delay")
      it->Options.Delay = std::chrono::duration_cast<Duration>(delay);
    else if (request.Path == "/control/cut")
      setCut(*it, on);
    else if (request.Path == "/control/stall")
      setStalled(*it, on);
    else
      changed = 0;
  }
  if (changed == 0)
    return reply(*server.Http, request.Id, 404, {{"error", "path or name"}});
  reply(*server.Http, request.Id, 200, {{"routes", changed}});
}

} // namespace

Result<std::unique_ptr<LinkServer>> startLinks(net::Loop &loop, std::vector<LinkOptions> routes,
                                               std::uint16_t controlPort) {
  auto server = std::make_unique<LinkServer>(loop);
  LinkServer &it = *server;
  for (LinkOptions &route : routes) {
    auto link = startLink(loop, it.Timers, std::move(route));
    if (!link)
      return tl::make_unexpected(link.error());
    it.Links.push_back(std::move(*link));
  }
  auto http = net::startHttpServer(
      loop, {.Port = controlPort},
      {.OnRequest = [&it](net::HttpRequest &&request) { serve(it, request); }, .OnGone = {}});
  if (!http)
    return tl::make_unexpected(http.error());
  it.Http = std::move(*http);
  return server;
}

} // namespace chervil::standin
