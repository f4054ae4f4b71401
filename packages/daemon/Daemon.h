// One node as a process: binds the node's effects to sockets, metrics and logs. Use:
//   Daemon daemon(settings);
//   Result<void> ok = start(daemon);
//   net::run(daemon.Loop);
#ifndef CHERVIL_DAEMON_DAEMON_H
#define CHERVIL_DAEMON_DAEMON_H

#include "base/Error.h"
#include "daemon/AdminApi.h"
#include "daemon/BackendClient.h"
#include "daemon/CallerApi.h"
#include "daemon/Metrics.h"
#include "daemon/PlatformFeed.h"
#include "net/PeerTransport.h"
#include "net/TimerService.h"
#include "node/Node.h"
#include "settings/NodeSettings.h"

#include <deque>
#include <unordered_map>

namespace chervil::daemon {

/// Times of a request, for the histograms.
struct RequestTimes {
  TimePoint Started{};
  bool FirstByte = false;
};

/// Members are destroyed in reverse order: everything on the loop goes before the loop.
struct Daemon {
  explicit Daemon(NodeSettings settings);

  NodeSettings Settings;
  net::Loop Loop;
  net::TimerService Timers{Loop};
  Metrics Counters;
  Random Rng;
  node::State Node;
  net::HttpClientPtr Http;
  platform::PlatformClientPtr Platform;
  PlatformFeed Feed;
  BackendClient Backends;
  CallerApi Callers;
  Random AdminRng;
  AdminApi Admin;
  net::PeerTransportPtr Peers;
  net::HttpServerPtr CallerServer;
  net::HttpServerPtr AdminServer;
  std::unordered_map<std::uint64_t, RequestTimes> Times;
  /// Events that arose while another was being handled.
  std::deque<node::Event> Pending;
  bool Handling = false;
  bool Stopping = false;
  Duration LastProcessor{0};
};

/// Listens on all addresses and starts all polls. Fails with BadSetting.
Result<void> start(Daemon &daemon);

/// Handles an event and carries out its effects. Events that arise meanwhile follow in order.
void deliver(Daemon &daemon, node::Event event);

/// Starts the graceful stop.
void leave(Daemon &daemon, std::chrono::milliseconds within);

/// Values that are counted elsewhere, brought up to date; for /metrics.
std::string metricsText(Daemon &daemon);

} // namespace chervil::daemon

#endif
