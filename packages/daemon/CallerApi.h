// The callers' HTTP interface: turns requests into node events and effects into responses. Use:
//   CallerApi api{.Deliver = [&](node::Event e) { ... }};
//   onRequest(api, *server, std::move(request));
//   show(api, *server, effect);
#ifndef CHERVIL_DAEMON_CALLERAPI_H
#define CHERVIL_DAEMON_CALLERAPI_H

#include "daemon/EventStreamWriter.h"
#include "net/HttpServer.h"
#include "node/Effect.h"
#include "node/Event.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace chervil::daemon {

/// A response in progress.
struct CallerResponse {
  EventStreamWriter Writer;
  bool Stream = false;
  bool Begun = false;
  /// Collected answer of a response that is not streamed.
  std::string Body;
  std::uint64_t FirstOffset = 0;
  bool Replayed = false;
  message::CopyPlacement Where = message::CopyPlacement::Owner;
};

struct CallerApi {
  std::function<void(node::Event)> Deliver;
  /// Ordered addresses for a caller.
  std::function<std::vector<std::string>(std::string_view caller)> Addresses;
  /// Counts a request that is refused before it reaches the node.
  std::function<void(ResultCode)> CountRefusal;
  std::chrono::milliseconds EntryTtl{10000};
  std::unordered_map<std::uint64_t, CallerResponse> Open;
};

void onRequest(CallerApi &api, net::HttpServer &server, const net::HttpRequest &request);

/// The caller's connection ended.
void onGone(CallerApi &api, std::uint64_t handle);

void show(CallerApi &api, net::HttpServer &server, const node::Begin &effect);
void show(CallerApi &api, net::HttpServer &server, const node::Bytes &effect);
void show(CallerApi &api, net::HttpServer &server, const node::Finish &effect);
void show(CallerApi &api, net::HttpServer &server, const node::Refuse &effect);
void show(CallerApi &api, net::HttpServer &server, const node::Moved &effect);

} // namespace chervil::daemon

#endif
