// Calls to back ends: carries out CallBackend, CancelBackend and ExportKv, and reports events. Use:
//   BackendClient client{.Http = http.get(), .Deliver = [&](node::Event e) { ... }};
//   carryOut(client, effect);
#ifndef CHERVIL_DAEMON_BACKENDCLIENT_H
#define CHERVIL_DAEMON_BACKENDCLIENT_H

#include "daemon/EventStreamReader.h"
#include "net/HttpClient.h"
#include "node/Effect.h"
#include "node/Event.h"
#include "platform/PlatformClient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace chervil::daemon {

struct BackendCall {
  std::uint64_t HttpCall = 0;
  std::string Backend;
  std::string Address;
  std::string RequestId;
  message::WorkKind Kind = message::WorkKind::Model;
  bool Repeatable = true;
  std::uint16_t Status = 0;
  std::string ContentType;
  EventStreamReader Reader;
  bool Malformed = false;
  /// First bytes of an answer that is an error.
  std::string ErrorBody;
};

struct BackendClient {
  net::HttpClient *Http = nullptr;
  platform::PlatformClient *Platform = nullptr;
  std::function<void(node::Event)> Deliver;
  std::chrono::milliseconds ConnectTimeout{1000};
  std::chrono::seconds IdleTimeout{30};
  std::unordered_map<std::uint64_t, BackendCall> Open;
};

void carryOut(BackendClient &client, const node::CallBackend &effect);
void carryOut(BackendClient &client, const node::CancelBackend &effect);
void carryOut(BackendClient &client, const node::ExportKv &effect);

} // namespace chervil::daemon

#endif
