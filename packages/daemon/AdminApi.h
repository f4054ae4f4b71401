// The operators' HTTP interface: health checks, metrics and /admin/v1/... Use:
//   AdminApi api{.Node = &state, .Platform = client.get(), .Server = server.get(),
//                .Timers = &timers, .Rng = &rng, .Token = settings.Node.AdminToken,
//                .Metrics = [&] { return metricsText(); },
//                .Deliver = [&](node::Event e) { ... },
//                .Leave = [&](std::chrono::milliseconds within) { ... }};
//   onRequest(api, request);
// One thread, that of the loop. Pending calls of the platform client and the timers refer to the
// interface, so the loop must not run without it.
#ifndef CHERVIL_DAEMON_ADMINAPI_H
#define CHERVIL_DAEMON_ADMINAPI_H

#include "base/Random.h"
#include "daemon/ContractChange.h"
#include "net/HttpServer.h"
#include "net/TimerService.h"
#include "node/Event.h"
#include "node/State.h"
#include "platform/PlatformClient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chervil::daemon {

struct AdminApi {
  const node::State *Node = nullptr;
  platform::PlatformClient *Platform = nullptr;
  net::HttpServer *Server = nullptr;
  net::TimerService *Timers = nullptr;
  /// Of its own, so that operators' requests do not change the node's random draws.
  Random *Rng = nullptr;
  /// Bearer token of /admin/v1; with an empty one every request is refused.
  std::string Token;
  /// Text of /metrics in the Prometheus format.
  std::function<std::string()> Metrics;
  /// Receives a node::Document for each accepted change.
  std::function<void(node::Event)> Deliver;
  /// Starts the graceful stop of the process, as SIGTERM does, with this time for it.
  std::function<void(std::chrono::milliseconds within)> Leave;
  /// Counts a refusal; may be empty.
  std::function<void(ResultCode)> CountRefusal;
  std::function<Now()> Clock = net::readNow;
  /// Changes whose outcome is not known yet, by number.
  std::map<std::uint64_t, ContractChangeRun> Changes;
  std::uint64_t NextChange = 1;
};

/// Answers the request, at once or after calls to the key-value service.
void onRequest(AdminApi &api, const net::HttpRequest &request);

} // namespace chervil::daemon

#endif
