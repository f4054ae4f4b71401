// HTTP/1.1 server on the event loop's own sockets. Use:
//   auto server = startServer(loop, timers, {.Address = "127.0.0.1:8080"},
//       {.OnRequest = [&](Request &&r) { respond(**server, r.Id, {.Status = 200}); }});
// Unlike net/HttpServer.h it reports a caller that leaves while its request waits, and relays a
// response in parts without copying it into a second queue. Every request is answered exactly once:
// respond(), beginStream() ... endStream(), or abort(). Not thread-safe.
#ifndef CHERVIL_HTTP_SERVER_H
#define CHERVIL_HTTP_SERVER_H

#include "base/Error.h"
#include "base/Time.h"
#include "http/Reader.h"
#include "limits/MemoryBudget.h"
#include "net/Loop.h"
#include "net/TimerService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervil::http {

struct Request {
  /// Unique within a server.
  std::uint64_t Id = 0;
  RequestHead Head;
  std::string Body;
  /// When its first byte arrived.
  TimePoint Started{};
};

struct Response {
  int Status = 200;
  http::Fields Fields;
  std::string Body;
  /// Closes the connection after the response.
  bool Close = false;
};

struct ServerLimits {
  ReadLimits Read;
  /// Bound on the time in which a request's head arrives.
  std::chrono::milliseconds HeaderTimeout{3000};
  /// Bound on the time between two requests on a connection, between two reads of a body, and
  /// between two writes of a response.
  std::chrono::milliseconds IdleTimeout{15000};
  /// A body that arrives more slowly than this on average is ended after IdleTimeout.
  std::uint64_t MinBodyBytesPerSecond = 1024;
};

struct ServerOptions {
  /// IPv4 "ip:port"; port 0 takes a free one.
  std::string Address;
  ServerLimits Limits;
  std::size_t MaxConnections = 3000;
  /// Connections that one client address may have open.
  std::size_t MaxConnectionsPerAddress = 3000;
  /// A caller of a stream that leaves this many bytes waiting is cut.
  std::size_t MaxPendingStreamBytes = std::size_t{2} << 20U;
  /// What the server holds is charged to it; null for no bound. It must outlive the server.
  limits::MemoryBudget *Memory = nullptr;
  /// Connections are accepted only while this returns true; absent for always.
  std::function<bool()> MayAccept;
};

/// Why a server turned a client away to protect the process.
enum class Shed : std::uint8_t {
  /// The request did not fit into the memory budget; answered with 503.
  NoMemory,
  /// A request or response that had stopped progressing was closed to free memory.
  Stalled,
  /// The client held MaxConnectionsPerAddress connections.
  TooManyConnections,
  /// The client took no bytes of its response for IdleTimeout.
  SlowReader,
};

const char *toString(Shed reason);

struct ServerEvents {
  std::function<void(Request &&)> OnRequest;
  /// The caller left before its response was complete; the id is no longer valid.
  std::function<void(std::uint64_t id)> OnGone;
  /// A message that cannot be read was answered with this status and its connection closed.
  std::function<void(int status)> OnRejected;
  /// A client was turned away; `address` is its IP address.
  std::function<void(const std::string &address, Shed reason)> OnShed;
};

/// Definition is internal to Server.cpp.
struct Server;
struct ServerDeleter {
  void operator()(Server *server) const;
};
using ServerPtr = std::unique_ptr<Server, ServerDeleter>;

/// Listens at once. Loop and timers must outlive the server. Fails with BadSetting.
Result<ServerPtr> startServer(net::Loop &loop, net::TimerService &timers, ServerOptions options,
                              ServerEvents events);

std::uint16_t port(const Server &server);

/// Applies to messages that begin later.
void setLimits(Server &server, const ServerLimits &limits);

/// From now on every response closes its connection, and idle connections are closed once the
/// callers had `grace` to notice.
void startDraining(Server &server);

/// Closes connections that carry no request.
void closeIdle(Server &server);

/// Stops accepting connections.
void stopListening(Server &server);

/// Requests read and not completely answered, and connections with unsent bytes.
std::size_t openRequests(const Server &server);
std::size_t openConnections(const Server &server);

/// Ignored for an id that is no longer valid; so are the functions below.
void respond(Server &server, std::uint64_t id, const Response &response);

/// Starts a chunked response; `response.Body` is its first part.
void beginStream(Server &server, std::uint64_t id, const Response &response);
void writeStream(Server &server, std::uint64_t id, std::string_view bytes);
void endStream(Server &server, std::uint64_t id);

/// Closes the connection at once, so that the response cannot pass for a whole one.
void abort(Server &server, std::uint64_t id);

} // namespace chervil::http

#endif
