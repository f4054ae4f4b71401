#include "http/ServerDetail.h"

#include "http/Socket.h"
#include "net/SocketAddress.h"

#include <algorithm>
#include <cstdio>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <vector>

namespace chervil::http {
namespace detail {
namespace {

using namespace std::chrono_literals;

constexpr Duration SweepPeriod = 250ms;
// Bytes of later requests that are read while one is served. Reading goes on because only a read
// shows that the caller left.
constexpr std::size_t MaxReadAhead = 64 * 1024;
// An empty buffer keeps at most this capacity.
constexpr std::size_t MaxIdleBuffer = 4096;
// Retry-After of a request that does not fit into the memory budget: most requests end within it.
constexpr const char *NoMemoryRetryAfter = "1";
// Time in which a caller may close its side after the last response, so that unread bytes do not
// reset the connection before the response is read.
constexpr Duration LingerTime = 1s;

/// Frees a buffer that is empty; one that was large stays large otherwise.
void freeIfEmpty(std::string &buf) {
  if (buf.empty() && buf.capacity() > MaxIdleBuffer)
    std::string().swap(buf);
}

void linger(Connection &c) {
  (void)shutdown(c.Fd, SHUT_WR);
  c.State = Phase::Lingering;
  c.Since = now();
  c.In.clear();
  ev_io_start(c.Owner->Loop->Raw.get(), &c.ReadWatcher);
}

/// Goes on after a response has been written completely.
void finishWritten(Connection &c) {
  if (c.State != Phase::Serving || !c.Answered || hasOutput(c))
    return;
  c.Owner->Requests.erase(c.Id);
  c.Id = 0;
  c.Answered = false;
  c.RequestBytes = 0;
  charge(c);
  if (c.CloseAfter) {
    linger(c);
    return;
  }
  c.State = Phase::Idle;
  c.Since = now();
  c.Reader.reset();
  if (c.ReadPaused) {
    c.ReadPaused = false;
    ev_io_start(c.Owner->Loop->Raw.get(), &c.ReadWatcher);
  }
  // A request that arrived meanwhile is read from the loop, not from within the response call.
  if (!c.In.empty())
    ev_feed_event(c.Owner->Loop->Raw.get(), &c.ReadWatcher, EV_READ);
}

/// Writes what the socket takes. Returns false if the connection was dropped.
bool flush(Connection &c) {
  const std::size_t before = c.OutAt;
  const IoState state = writeSome(c.Fd, c.Out, c.OutAt);
  if (state == IoState::Failed) {
    drop(c);
    return false;
  }
  if (c.OutAt > before)
    c.Wrote = now();
  if (state == IoState::Ok) {
    c.Out.clear();
    c.OutAt = 0;
    ev_io_stop(c.Owner->Loop->Raw.get(), &c.WriteWatcher);
  } else {
    if (!c.Answered && c.Out.size() - c.OutAt > c.Owner->Options.MaxPendingStreamBytes) {
      drop(c);
      return false;
    }
    ev_io_start(c.Owner->Loop->Raw.get(), &c.WriteWatcher);
  }
  charge(c);
  finishWritten(c);
  return true;
}

std::string headText(const Server &server, Connection &c, const Response &response,
                     std::string_view framing) {
  if (response.Close || server.Draining)
    c.CloseAfter = true;
  std::string out = "HTTP/1.1 " + std::to_string(response.Status) + " " +
                    std::string(reasonOf(response.Status)) + "\r\n";
  for (const auto &[name, value] : response.Fields)
    out.append(name).append(": ").append(value).append("\r\n");
  out.append(framing);
  if (c.CloseAfter)
    out.append("Connection: close\r\n");
  out.append("\r\n");
  return out;
}

void appendChunk(std::string &out, std::string_view bytes) {
  if (bytes.empty())
    return;
  char size[20];
  const int n = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  out.append(size, static_cast<std::size_t>(n)).append(bytes).append("\r\n");
}

/// Answers a message that cannot be read or taken, and closes. Frees what was read of it.
void reject(Connection &c, int status, Fields fields = {}) {
  Server &server = *c.Owner;
  c.CloseAfter = true;
  c.Reader.reset();
  c.In.clear();
  c.State = Phase::Serving;
  c.Id = server.NextId++;
  server.Requests.emplace(c.Id, &c);
  if (server.Events.OnRejected)
    server.Events.OnRejected(status);
  respond(server, c.Id, {.Status = status, .Fields = std::move(fields), .Body = {}, .Close = true});
}

/// Returns true if a body of the announced length fits into the memory budget.
bool fits(const Connection &c) {
  const limits::MemoryBudget *memory = c.Owner->Options.Memory;
  return memory == nullptr || limits::hasRoom(*memory, announcedLength(*c.Reader).value_or(0));
}

void handOn(Connection &c) {
  Server &server = *c.Owner;
  c.State = Phase::Serving;
  c.Id = server.NextId++;
  c.CloseAfter = !c.Reader->KeepAlive;
  server.Requests.emplace(c.Id, &c);
  c.RequestBytes = heldBytes(*c.Reader);
  Request request{c.Id, std::move(c.Reader->Head), std::move(c.Reader->Body), c.Started};
  c.Reader.reset();
  charge(c);
  server.Events.OnRequest(std::move(request));
}

void readRequest(Connection &c) {
  Server &server = *c.Owner;
  if (c.State == Phase::Idle) {
    c.State = Phase::Reading;
    c.Started = c.Since = now();
    c.RequestWireBytes = 0;
    c.Reader = std::make_unique<RequestReader>(server.Options.Limits.Read);
  }
  const bool hadHead = c.Reader->State != ReadState::Head;
  const std::size_t used = feed(*c.Reader, c.In);
  c.In.erase(0, used);
  c.RequestWireBytes += used;
  if (c.Reader->State == ReadState::Failed) {
    reject(c, c.Reader->ErrorStatus);
    return;
  }
  if (!hadHead && c.Reader->State != ReadState::Head && !fits(c)) {
    rejectForMemory(c, Shed::NoMemory);
    return;
  }
  if (c.Reader->State == ReadState::Done) {
    handOn(c);
    return;
  }
  if (c.Reader->State == ReadState::Body) {
    c.Since = now();
    const std::string *expect = find(c.Reader->Head.Fields, "Expect");
    if (!hadHead && expect != nullptr && sameName(*expect, "100-continue")) {
      c.Out.append("HTTP/1.1 100 Continue\r\n\r\n");
      flush(c);
    }
  }
}

/// Handles buffered bytes; a response that is written at once makes room for the next request.
void readRequests(Connection &c) {
  Server &server = *c.Owner;
  while (server.Connections.contains(&c) && !c.In.empty() &&
         (c.State == Phase::Idle || c.State == Phase::Reading)) {
    const std::size_t before = c.In.size();
    const Phase phase = c.State;
    readRequest(c);
    if (!server.Connections.contains(&c) || (c.In.size() == before && c.State == phase))
      return;
    if (c.State == Phase::Reading)
      return;
  }
}

/// True if the body being read arrives so slowly that its connection is not kept for it.
bool isBodyTooSlow(const Connection &c, TimePoint at) {
  const ServerLimits &limits = c.Owner->Options.Limits;
  if (c.State != Phase::Reading || c.Reader->State != ReadState::Body ||
      at - c.Started <= limits.IdleTimeout)
    return false;
  const double seconds = std::chrono::duration<double>(at - c.Started).count();
  return static_cast<double>(c.Reader->Body.size()) <
         static_cast<double>(limits.MinBodyBytesPerSecond) * seconds;
}

void sweep(Server &server) {
  const TimePoint at = now();
  std::vector<Connection *> late;
  std::vector<Connection *> slow;
  std::vector<Connection *> stalled;
  for (const auto &[c, owner] : server.Connections) {
    const Duration age = at - c->Since;
    const bool readsHead = c->State == Phase::Reading && c->Reader->State == ReadState::Head;
    const bool waits = c->State == Phase::Idle || c->State == Phase::Reading;
    if ((readsHead && at - c->Started > server.Options.Limits.HeaderTimeout) ||
        isBodyTooSlow(*c, at))
      slow.push_back(c);
    else if (c->State == Phase::Serving && hasOutput(*c) &&
             at - c->Wrote > server.Options.Limits.IdleTimeout)
      stalled.push_back(c);
    else if ((waits && !c->BulkQueued && age > server.Options.Limits.IdleTimeout) ||
             (c->State == Phase::Lingering && age > LingerTime))
      late.push_back(c);
  }
  // The events of one connection may close others.
  const auto isOpen = [&](Connection *c) { return server.Connections.contains(c); };
  for (Connection *c : late)
    if (isOpen(c))
      drop(*c);
  for (Connection *c : stalled)
    if (isOpen(c)) {
      noteShed(*c, Shed::SlowReader);
      drop(*c);
    }
  for (Connection *c : slow)
    if (isOpen(c))
      reject(*c, 408);
  evict(server);
  resumeAccepting(server);
}

Connection *connectionOf(Server &server, std::uint64_t id) {
  const auto it = server.Requests.find(id);
  return it == server.Requests.end() || it->second->Answered ? nullptr : it->second;
}

} // namespace

void charge(Connection &c) {
  limits::MemoryBudget *memory = c.Owner->Options.Memory;
  if (memory == nullptr)
    return;
  freeIfEmpty(c.In);
  freeIfEmpty(c.Out);
  const std::uint64_t request =
      sizeof(c) + c.In.capacity() + c.RequestBytes + (c.Reader ? heldBytes(*c.Reader) : 0);
  limits::adjust(*memory, limits::MemoryUse::Requests, c.ChargedRequest, request);
  limits::adjust(*memory, limits::MemoryUse::Responses, c.ChargedResponse, c.Out.capacity());
  c.ChargedRequest = request;
  c.ChargedResponse = c.Out.capacity();
}

void noteShed(const Connection &c, Shed reason) {
  if (c.Owner->Events.OnShed)
    c.Owner->Events.OnShed(c.Address, reason);
}

void drop(Connection &c) {
  Server &server = *c.Owner;
  forgetBulkRead(c);
  ev_io_stop(server.Loop->Raw.get(), &c.ReadWatcher);
  ev_io_stop(server.Loop->Raw.get(), &c.WriteWatcher);
  close(c.Fd);
  if (server.Options.Memory != nullptr) {
    limits::adjust(*server.Options.Memory, limits::MemoryUse::Requests, c.ChargedRequest, 0);
    limits::adjust(*server.Options.Memory, limits::MemoryUse::Responses, c.ChargedResponse, 0);
  }
  if (const auto count = server.ConnectionsByAddress.find(c.Address);
      count != server.ConnectionsByAddress.end() && --count->second == 0)
    server.ConnectionsByAddress.erase(count);
  const std::uint64_t id = c.State == Phase::Serving ? c.Id : 0;
  const auto it = server.Connections.find(&c);
  const std::unique_ptr<Connection> keep = std::move(it->second);
  server.Connections.erase(it);
  if (id != 0) {
    server.Requests.erase(id);
    if (server.Events.OnGone)
      server.Events.OnGone(id);
  }
}

void rejectForMemory(Connection &c, Shed reason) {
  noteShed(c, reason);
  reject(c, 503, {{"Retry-After", NoMemoryRetryAfter}});
}

void onReadable(Connection &c) {
  Server &server = *c.Owner;
  const IoState state = readSome(c.Fd, c.In);
  if (state == IoState::Blocked && c.In.empty())
    return;
  if (state == IoState::Ended || state == IoState::Failed) {
    drop(c);
    return;
  }
  if (c.State == Phase::Lingering) {
    // What is thrown away must not leave a large buffer behind.
    c.In.clear();
    freeIfEmpty(c.In);
    return;
  }
  if (c.State == Phase::Serving) {
    charge(c);
    const limits::MemoryBudget *memory = server.Options.Memory;
    const bool crowded = memory != nullptr && !limits::hasRoom(*memory, MaxReadAhead);
    if (c.In.size() > MaxReadAhead || (crowded && !c.In.empty())) {
      c.ReadPaused = true;
      ev_io_stop(server.Loop->Raw.get(), &c.ReadWatcher);
    }
    return;
  }
  readRequests(c);
  if (server.Connections.contains(&c))
    charge(c);
  evict(server);
}

void onWritable(Connection &c) {
  Server &owner = *c.Owner;
  if (flush(c) && owner.Connections.contains(&c))
    readRequests(c);
}

} // namespace detail

using namespace detail;

const char *toString(Shed reason) {
  switch (reason) {
  case Shed::NoMemory:
    return "no_memory";
  case Shed::Stalled:
    return "stalled";
  case Shed::TooManyConnections:
    return "too_many_connections";
  case Shed::SlowReader:
    return "slow_reader";
  }
  return "unknown";
}

void ServerDeleter::operator()(Server *server) const {
  stopListening(*server);
  net::cancel(*server->Timers, server->Sweep);
  server->Events.OnGone = nullptr;
  while (!server->Connections.empty())
    drop(*server->Connections.begin()->first);
  delete server;
}

Result<ServerPtr> startServer(net::Loop &loop, net::TimerService &timers, ServerOptions options,
                              ServerEvents events) {
  const auto address = net::parseAddress(options.Address);
  if (!address)
    return fail(ResultCode::BadSetting, "not an address: " + options.Address);
  const Result<int> fd = listenOn(*address);
  if (!fd)
    return tl::make_unexpected(fd.error());
  ServerPtr server(new Server);
  server->Loop = &loop;
  server->Timers = &timers;
  server->Options = std::move(options);
  server->Events = std::move(events);
  server->Fd = *fd;
  ev_io_init(
      &server->Accept,
      [](struct ev_loop *, ev_io *w, int) { acceptWaiting(*static_cast<Server *>(w->data)); }, *fd,
      EV_READ);
  server->Accept.data = server.get();
  initBulkReads(*server);
  ev_io_start(loop.Raw.get(), &server->Accept);
  server->Sweep = net::every(timers, SweepPeriod, [raw = server.get()] { sweep(*raw); });
  return server;
}

std::uint16_t port(const Server &server) { return boundPort(server.Fd); }

void setLimits(Server &server, const ServerLimits &limits) { server.Options.Limits = limits; }

void startDraining(Server &server) { server.Draining = true; }

void closeIdle(Server &server) {
  std::vector<Connection *> idle;
  for (const auto &[c, owner] : server.Connections)
    if (c->State == Phase::Idle)
      idle.push_back(c);
  for (Connection *c : idle) {
    // A request that has arrived is answered first; the connection then closes after the answer.
    onReadable(*c);
    if (server.Connections.contains(c) && c->State == Phase::Idle && c->In.empty())
      linger(*c);
  }
}

void stopListening(Server &server) {
  if (server.Fd < 0)
    return;
  // Closing the socket resets the connections that wait to be accepted.
  acceptWaiting(server);
  ev_io_stop(server.Loop->Raw.get(), &server.Accept);
  close(server.Fd);
  server.Fd = -1;
}

std::size_t openRequests(const Server &server) {
  std::size_t n = 0;
  for (const auto &[c, owner] : server.Connections)
    n += c->State == Phase::Reading || c->State == Phase::Serving ? 1 : 0;
  return n;
}

std::size_t openConnections(const Server &server) { return server.Connections.size(); }

void respond(Server &server, std::uint64_t id, const Response &response) {
  Connection *c = connectionOf(server, id);
  if (c == nullptr)
    return;
  c->Out += headText(server, *c, response,
                     "Content-Length: " + std::to_string(response.Body.size()) + "\r\n");
  c->Out += response.Body;
  c->Answered = true;
  c->Wrote = now();
  flush(*c);
}

void beginStream(Server &server, std::uint64_t id, const Response &response) {
  Connection *c = connectionOf(server, id);
  if (c == nullptr)
    return;
  c->Out += headText(server, *c, response, "Transfer-Encoding: chunked\r\n");
  appendChunk(c->Out, response.Body);
  c->Wrote = now();
  flush(*c);
}

void writeStream(Server &server, std::uint64_t id, std::string_view bytes) {
  Connection *c = connectionOf(server, id);
  if (c == nullptr)
    return;
  if (!hasOutput(*c))
    c->Wrote = now();
  appendChunk(c->Out, bytes);
  flush(*c);
}

void endStream(Server &server, std::uint64_t id) {
  Connection *c = connectionOf(server, id);
  if (c == nullptr)
    return;
  c->Out += "0\r\n\r\n";
  c->Answered = true;
  flush(*c);
}

void abort(Server &server, std::uint64_t id) {
  Connection *c = connectionOf(server, id);
  if (c == nullptr)
    return;
  server.Requests.erase(id);
  c->State = Phase::Idle;
  drop(*c);
}

} // namespace chervil::http
