// HTTP/1.1 server on the event loop, by libmicrohttpd with external epoll. Use:
//   auto server = startHttpServer(loop, {.Address = "127.0.0.1", .Port = 8080},
//       {.OnRequest = [&](HttpRequest &&r) { respond(*server, r.Id, {.Body = "hi"}); }});
// Every request is answered exactly once: respond(), or beginStream() ... endStream().
#ifndef CHERVIL_NET_HTTPSERVER_H
#define CHERVIL_NET_HTTPSERVER_H

#include "base/Error.h"
#include "net/HttpRequest.h"
#include "net/Loop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chervil::net {

struct HttpServerOptions {
  /// IPv4 address in dotted form.
  std::string Address = "127.0.0.1";
  /// 0 takes a free port; see port().
  std::uint16_t Port = 0;
  std::size_t MaxBody = 1 << 20;
  unsigned MaxConnections = 8192;
  /// Idle connections are closed after this time.
  std::chrono::seconds IdleTimeout{60};
  /// PEM texts; TLS is used when both are set.
  std::string Certificate;
  std::string PrivateKey;
};

struct HttpServerCallbacks {
  /// The whole request has arrived. May respond before it returns.
  std::function<void(HttpRequest &&)> OnRequest;
  /// The caller's connection ended before the response did; the id is no longer valid.
  std::function<void(std::uint64_t id)> OnGone;
};

struct HttpResponse {
  int Status = 200;
  std::string ContentType = "application/json";
  NamedValues Headers;
  std::string Body;
};

/// Definition is internal to HttpServer.cpp.
struct HttpServer;
struct HttpServerDeleter {
  void operator()(HttpServer *server) const;
};
using HttpServerPtr = std::unique_ptr<HttpServer, HttpServerDeleter>;

/// Listens at once. The loop must outlive the server.
Result<HttpServerPtr> startHttpServer(Loop &loop, HttpServerOptions options,
                                      HttpServerCallbacks callbacks);

/// The port the server listens on.
std::uint16_t port(const HttpServer &server);

/// Requests that have not been answered completely.
std::size_t openRequests(const HttpServer &server);

/// Stops accepting connections; open ones continue.
void stopListening(HttpServer &server);

/// Sends a whole response. Ignored for an id that is no longer valid.
void respond(HttpServer &server, std::uint64_t id, HttpResponse response);

/// Starts a chunked response; `response.Body` is its first part.
void beginStream(HttpServer &server, std::uint64_t id, HttpResponse response);

/// Appends to a chunked response.
void writeStream(HttpServer &server, std::uint64_t id, std::string_view bytes);

/// Ends a chunked response.
void endStream(HttpServer &server, std::uint64_t id);

/// Closes the connection without ending the response, so that it cannot pass for a whole one.
/// Without a response so far, the caller receives no status line either.
void abortStream(HttpServer &server, std::uint64_t id);

/// Bytes written but not yet handed to the socket.
std::size_t pendingBytes(const HttpServer &server, std::uint64_t id);

} // namespace chervil::net

#endif
