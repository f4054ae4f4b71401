#include "net/HttpServer.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace chervil::net {
namespace {

// Requests have small headers; a larger pool would exceed the memory budget per open stream.
constexpr std::size_t ConnectionMemory = 6 * 1024;
constexpr std::size_t StreamBlock = 1024;

struct Connection {
  HttpServer *Server = nullptr;
  MHD_Connection *Raw = nullptr;
  HttpRequest Request;
  bool Dispatched = false;
  bool Suspended = false;
  bool Answered = false;
  bool Queued = false;
  bool Streaming = false;
  bool Ended = false;
  bool Aborted = false;
  HttpResponse Response;
  std::string Out;
  std::size_t OutTaken = 0;
};

} // namespace

struct HttpServer {
  HttpServerOptions Options;
  HttpServerCallbacks Callbacks;
  struct ev_loop *Loop = nullptr;
  MHD_Daemon *Daemon = nullptr;
  ev_io Io{};
  ev_timer Timer{};
  ev_prepare Prepare{};
  bool Dirty = false;
  bool Stopping = false;
  std::uint16_t Port = 0;
  std::uint64_t NextId = 1;
  std::unordered_map<std::uint64_t, Connection *> Open;
};

namespace {

void drive(HttpServer &server) {
  server.Dirty = false;
  MHD_run(server.Daemon);
  MHD_UNSIGNED_LONG_LONG timeout = 0;
  ev_timer_stop(server.Loop, &server.Timer);
  if (MHD_get_timeout(server.Daemon, &timeout) == MHD_YES) {
    ev_timer_set(&server.Timer, static_cast<double>(timeout) / 1000.0, 0.0);
    ev_timer_start(server.Loop, &server.Timer);
  }
}

/// Resumes a suspended connection; libmicrohttpd takes it up in the next drive().
void wake(Connection &c) {
  if (!c.Suspended)
    return;
  c.Suspended = false;
  MHD_resume_connection(c.Raw);
  c.Server->Dirty = true;
}

void suspend(Connection &c) {
  c.Suspended = true;
  MHD_suspend_connection(c.Raw);
}

MHD_Result collect(void *to, MHD_ValueKind, const char *name, const char *value) {
  static_cast<NamedValues *>(to)->emplace_back(name, value != nullptr ? value : "");
  return MHD_YES;
}

MHD_Result collectLower(void *to, MHD_ValueKind, const char *name, const char *value) {
  std::string lower(name);
  std::ranges::transform(lower, lower.begin(), [](unsigned char ch) { return std::tolower(ch); });
  static_cast<NamedValues *>(to)->emplace_back(std::move(lower), value != nullptr ? value : "");
  return MHD_YES;
}

ssize_t readStream(void *cls, std::uint64_t, char *buf, std::size_t max) {
  auto &c = *static_cast<Connection *>(cls);
  const std::size_t n = std::min(max, c.Out.size() - c.OutTaken);
  if (n > 0) {
    std::memcpy(buf, c.Out.data() + c.OutTaken, n);
    c.OutTaken += n;
    if (c.OutTaken == c.Out.size()) {
      c.Out.clear();
      c.OutTaken = 0;
    }
    return static_cast<ssize_t>(n);
  }
  if (c.Aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (c.Ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  suspend(c);
  return 0;
}

void addHeaders(MHD_Response *raw, const HttpResponse &response) {
  MHD_add_response_header(raw, MHD_HTTP_HEADER_CONTENT_TYPE, response.ContentType.c_str());
  for (const auto &[name, value] : response.Headers)
    MHD_add_response_header(raw, name.c_str(), value.c_str());
}

MHD_Result queueResponse(Connection &c) {
  c.Queued = true;
  MHD_Response *raw = nullptr;
  if (c.Streaming) {
    raw = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlock, readStream, &c, nullptr);
  } else {
    raw = MHD_create_response_from_buffer(c.Response.Body.size(), c.Response.Body.data(),
                                          MHD_RESPMEM_MUST_COPY);
  }
  if (raw == nullptr)
    return MHD_NO;
  addHeaders(raw, c.Response);
  const auto status = static_cast<unsigned>(c.Response.Status);
  const MHD_Result result = MHD_queue_response(c.Raw, status, raw);
  MHD_destroy_response(raw);
  return result;
}

/// True if the connection is to be closed before a status line was sent.
bool closesUnanswered(const Connection &c) { return c.Aborted && !c.Answered; }

MHD_Result dispatch(Connection &c) {
  c.Dispatched = true;
  MHD_get_connection_values(c.Raw, MHD_HEADER_KIND, collectLower, &c.Request.Headers);
  MHD_get_connection_values(c.Raw, MHD_GET_ARGUMENT_KIND, collect, &c.Request.Query);
  c.Request.Id = c.Server->NextId++;
  const std::uint64_t id = c.Request.Id;
  c.Server->Open.emplace(id, &c);
  c.Server->Callbacks.OnRequest(std::move(c.Request));
  c.Request = HttpRequest{};
  c.Request.Id = id;
  if (closesUnanswered(c))
    return MHD_NO;
  if (c.Answered)
    return queueResponse(c);
  suspend(c);
  return MHD_YES;
}

MHD_Result handle(void *cls, MHD_Connection *raw, const char *url, const char *method, const char *,
                  const char *data, std::size_t *size, void **state) {
  auto *server = static_cast<HttpServer *>(cls);
  auto *c = static_cast<Connection *>(*state);
  if (c == nullptr) {
    c = new Connection;
    c->Server = server;
    c->Raw = raw;
    c->Request.Method = method;
    c->Request.Path = url;
    *state = c;
    return MHD_YES;
  }
  if (*size > 0) {
    if (c->Request.Body.size() + *size > server->Options.MaxBody) {
      c->Request.BodyTooLarge = true;
      c->Request.Body.clear();
    }
    if (!c->Request.BodyTooLarge)
      c->Request.Body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  if (!c->Dispatched)
    return dispatch(*c);
  if (closesUnanswered(*c))
    return MHD_NO;
  if (c->Answered && !c->Queued)
    return queueResponse(*c);
  return MHD_YES;
}

void completed(void *cls, MHD_Connection *, void **state, MHD_RequestTerminationCode reason) {
  auto *server = static_cast<HttpServer *>(cls);
  auto *c = static_cast<Connection *>(*state);
  if (c == nullptr)
    return;
  *state = nullptr;
  const bool whole = c->Answered && reason == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  const std::uint64_t id = c->Request.Id;
  if (c->Dispatched && server->Open.erase(id) > 0 && !whole && !server->Stopping &&
      server->Callbacks.OnGone)
    server->Callbacks.OnGone(id);
  delete c;
}

Connection *find(HttpServer &server, std::uint64_t id) {
  const auto it = server.Open.find(id);
  return it == server.Open.end() ? nullptr : it->second;
}

std::uint16_t boundPort(MHD_Daemon *daemon) {
  const auto *it = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
  return it != nullptr ? it->port : 0;
}

void watch(HttpServer &server) {
  const auto *it = MHD_get_daemon_info(server.Daemon, MHD_DAEMON_INFO_EPOLL_FD);
  server.Io.data = server.Timer.data = server.Prepare.data = &server;
  ev_io_init(
      &server.Io,
      [](struct ev_loop *, ev_io *w, int) { drive(*static_cast<HttpServer *>(w->data)); },
      it->epoll_fd, EV_READ);
  ev_timer_init(
      &server.Timer,
      [](struct ev_loop *, ev_timer *w, int) { drive(*static_cast<HttpServer *>(w->data)); }, 0.0,
      0.0);
  // Connections resumed by any callback of this iteration are served together, before the loop
  // waits again.
  ev_prepare_init(&server.Prepare, [](struct ev_loop *, ev_prepare *w, int) {
    auto &it2 = *static_cast<HttpServer *>(w->data);
    if (it2.Dirty)
      drive(it2);
  });
  ev_io_start(server.Loop, &server.Io);
  ev_prepare_start(server.Loop, &server.Prepare);
}

} // namespace

Result<HttpServerPtr> startHttpServer(Loop &loop, HttpServerOptions options,
                                      HttpServerCallbacks callbacks) {
  HttpServerPtr server(new HttpServer);
  server->Options = std::move(options);
  server->Callbacks = std::move(callbacks);
  server->Loop = loop.Raw.get();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server->Options.Port);
  if (inet_pton(AF_INET, server->Options.Address.c_str(), &address.sin_addr) != 1)
    return fail(ResultCode::BadSetting, "not an IPv4 address: " + server->Options.Address);
  const bool tls = !server->Options.Certificate.empty() && !server->Options.PrivateKey.empty();
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  if (tls)
    flags |= MHD_USE_TLS;
  std::vector<MHD_OptionItem> items = {
      {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&completed), server.get()},
      {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(server->Options.MaxConnections), nullptr},
      {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(server->Options.IdleTimeout.count()),
       nullptr},
      {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<intptr_t>(ConnectionMemory), nullptr},
      {MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024, nullptr},
  };
  if (tls) {
    items.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, server->Options.Certificate.data()});
    items.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, server->Options.PrivateKey.data()});
  }
  items.push_back({MHD_OPTION_END, 0, nullptr});
  server->Daemon =
      MHD_start_daemon(flags, 0, nullptr, nullptr, handle, server.get(), MHD_OPTION_SOCK_ADDR,
                       &address, MHD_OPTION_ARRAY, items.data(), MHD_OPTION_END);
  if (server->Daemon == nullptr)
    return fail(ResultCode::BadSetting, "cannot listen on " + server->Options.Address + ":" +
                                            std::to_string(server->Options.Port));
  server->Port = boundPort(server->Daemon);
  watch(*server);
  drive(*server);
  return server;
}

void HttpServerDeleter::operator()(HttpServer *server) const {
  if (server->Daemon != nullptr) {
    server->Stopping = true;
    ev_io_stop(server->Loop, &server->Io);
    ev_timer_stop(server->Loop, &server->Timer);
    ev_prepare_stop(server->Loop, &server->Prepare);
    for (auto &[id, c] : server->Open) {
      c->Aborted = true;
      wake(*c);
    }
    MHD_run(server->Daemon);
    MHD_stop_daemon(server->Daemon);
  }
  delete server;
}

std::uint16_t port(const HttpServer &server) { return server.Port; }

std::size_t openRequests(const HttpServer &server) { return server.Open.size(); }

void stopListening(HttpServer &server) {
  const MHD_socket fd = MHD_quiesce_daemon(server.Daemon);
  if (fd != MHD_INVALID_SOCKET)
    close(fd);
}

void respond(HttpServer &server, std::uint64_t id, HttpResponse response) {
  Connection *c = find(server, id);
  if (c == nullptr || c->Answered || c->Aborted)
    return;
  c->Answered = true;
  c->Response = std::move(response);
  wake(*c);
}

void beginStream(HttpServer &server, std::uint64_t id, HttpResponse response) {
  Connection *c = find(server, id);
  if (c == nullptr || c->Answered || c->Aborted)
    return;
  c->Answered = true;
  c->Streaming = true;
  c->Out = std::move(response.Body);
  c->Response = std::move(response);
  wake(*c);
}

void writeStream(HttpServer &server, std::uint64_t id, std::string_view bytes) {
  Connection *c = find(server, id);
  if (c == nullptr || !c->Streaming || c->Ended)
    return;
  c->Out.append(bytes);
  wake(*c);
}

void endStream(HttpServer &server, std::uint64_t id) {
  Connection *c = find(server, id);
  if (c == nullptr)
    return;
  c->Ended = true;
  wake(*c);
}

void abortStream(HttpServer &server, std::uint64_t id) {
  Connection *c = find(server, id);
  if (c == nullptr)
    return;
  c->Aborted = true;
  wake(*c);
}

std::size_t pendingBytes(const HttpServer &server, std::uint64_t id) {
  const auto it = server.Open.find(id);
  return it == server.Open.end() ? 0 : it->second->Out.size() - it->second->OutTaken;
}

} // namespace chervil::net
