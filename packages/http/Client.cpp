#include "http/Client.h"

#include "http/Reader.h"
#include "http/Socket.h"
#include "net/HttpSyntax.h"
#include "net/SocketAddress.h"
#include "net/SocketOptions.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>

namespace chervil::http {
namespace {

using namespace std::chrono_literals;

constexpr Duration SweepPeriod = 200ms;
// A server may close an idle connection at the end of the time it announced; a request that crosses
// the close has an unknown outcome.
constexpr Duration KeepAliveMargin = 700ms;
// Bytes that the parser may leave unread while it waits for the end of a line: a head, or the line
// that begins a chunk. A line without end would otherwise be collected without bound.
constexpr std::size_t MaxUnparsedBytes = 4 * MaxResponseHeadBytes;

// Room in the memory budget that reading a large response further needs.
constexpr std::uint64_t ReadPauseBytes = std::uint64_t{256} << 10U;

struct Connection {
  Client *Owner = nullptr;
  std::string Address;
  int Fd = -1;
  ev_io ReadWatcher{};
  ev_io WriteWatcher{};
  bool Connected = false;
  bool Reused = false;
  /// Id of the call it carries; 0 while idle.
  std::uint64_t CallId = 0;
  TimePoint IdleUntil{};
  std::string In;
  /// Head of the request, and the body unless it is shared.
  std::string Out;
  std::size_t OutAt = 0;
  std::shared_ptr<const std::string> SharedBody;
  std::size_t SharedAt = 0;
  /// Not read until the memory budget has room.
  bool ReadPaused = false;
  /// The server has ended its side, and thus a response without length.
  bool ResponseEnded = false;
};

struct ActiveCall {
  std::uint64_t Id = 0;
  Call What;
  CallEvents Events;
  Connection *Link = nullptr;
  std::unique_ptr<ResponseReader> Reader;
  TimePoint Started{};
  bool HeadSeen = false;
  /// Bytes of a response that may be of this call have arrived.
  bool Began = false;
  /// The response being read is not of this call.
  bool Ignoring = false;
  /// Body bytes read, and responses skipped.
  std::uint64_t Received = 0;
  unsigned Skipped = 0;
};

} // namespace

struct Client {
  net::Loop *Loop = nullptr;
  net::TimerService *Timers = nullptr;
  ClientOptions Options;
  ClientCounters Counters;
  net::TimerId Sweep = 0;
  std::uint64_t NextId = 1;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> Connections;
  std::unordered_map<std::string, std::deque<Connection *>> Idle;
  std::unordered_map<std::uint64_t, std::unique_ptr<ActiveCall>> Calls;
};

namespace {

TimePoint now() { return net::readNow().Steady; }

bool isSent(const Connection &c) {
  return c.OutAt == c.Out.size() && (c.SharedBody == nullptr || c.SharedAt == c.SharedBody->size());
}

/// True once the server's system has acknowledged the whole request.
bool isAcknowledged(const Connection &c) {
  return isSent(c) && net::unacknowledgedBytes(c.Fd) == 0;
}

/// Writes what the socket takes of the request.
IoState writeRequest(Connection &c) {
  const IoState state = writeSome(c.Fd, c.Out, c.OutAt);
  if (state != IoState::Ok || c.SharedBody == nullptr)
    return state;
  return writeSome(c.Fd, *c.SharedBody, c.SharedAt);
}

void dropConnection(Connection &c) {
  Client &client = *c.Owner;
  ev_io_stop(client.Loop->Raw.get(), &c.ReadWatcher);
  ev_io_stop(client.Loop->Raw.get(), &c.WriteWatcher);
  close(c.Fd);
  if (const auto it = client.Idle.find(c.Address); it != client.Idle.end()) {
    std::erase(it->second, &c);
    if (it->second.empty())
      client.Idle.erase(it);
  }
  client.Connections.erase(&c);
}

/// Ends a call with its last event.
void endCall(Client &client, std::uint64_t id, Failure failure) {
  const auto it = client.Calls.find(id);
  if (it == client.Calls.end())
    return;
  const std::unique_ptr<ActiveCall> call = std::move(it->second);
  client.Calls.erase(it);
  const End end{failure, call->Link != nullptr && call->Link->Reused,
                call->Reader->EndsWithConnection,
                failure == Failure::Broken && call->Began && !call->HeadSeen};
  if (call->Link != nullptr && call->Link->CallId == id)
    dropConnection(*call->Link);
  if (call->Events.OnEnd)
    call->Events.OnEnd(end);
}

Duration idleTimeOf(const Client &client, const Fields &fields) {
  Duration time = client.Options.IdleTimeout;
  const std::string *value = find(fields, "Keep-Alive");
  const std::size_t at = value == nullptr ? std::string::npos : value->find("timeout=");
  if (at == std::string::npos)
    return time;
  int seconds = 0;
  const char *from = value->data() + at + 8;
  const auto [end, ec] = std::from_chars(from, value->data() + value->size(), seconds);
  if (ec == std::errc())
    time = std::min<Duration>(time, std::chrono::seconds(seconds) - KeepAliveMargin);
  return time;
}

/// Ends a call whose response is complete, and keeps its connection where that is safe.
void completeCall(ActiveCall &call) {
  Client &client = *call.Link->Owner;
  Connection &link = *call.Link;
  if (call.What.ResetIfIncomplete)
    setResetOnClose(link.Fd, false);
  const Duration idle = idleTimeOf(client, call.Reader->Head.Fields);
  if (!link.In.empty())
    ++client.Counters.TrailingBytes;
  const bool keep = call.Reader->KeepAlive && link.In.empty() && isSent(link) &&
                    idle > Duration{0} &&
                    client.Idle[link.Address].size() < client.Options.MaxIdlePerAddress;
  if (keep) {
    link.CallId = 0;
    link.Out.clear();
    link.OutAt = 0;
    link.SharedBody.reset();
    link.IdleUntil = now() + idle;
    client.Idle[link.Address].push_back(&link);
  }
  endCall(client, call.Id, Failure::None);
}

/// Hands on what has been read. Returns false when the call has ended or was cancelled.
bool handOn(Client &client, std::uint64_t id) {
  const auto it = client.Calls.find(id);
  if (it == client.Calls.end())
    return false;
  ActiveCall &call = *it->second;
  if (call.Reader->State == ReadState::Head)
    return true;
  if (!call.HeadSeen) {
    call.HeadSeen = true;
    call.Ignoring = call.Events.Accepts && !call.Events.Accepts(call.Reader->Head);
    if (call.Ignoring)
      ++client.Counters.IgnoredResponses;
    else if (call.Events.OnHead)
      call.Events.OnHead(call.Reader->Head);
    if (!client.Calls.contains(id))
      return false;
  }
  if (!call.Ignoring && !call.Reader->Body.empty() && call.Events.OnData) {
    const std::string bytes = std::move(call.Reader->Body);
    call.Reader->Body.clear();
    call.Events.OnData(bytes);
    if (!client.Calls.contains(id))
      return false;
  }
  call.Reader->Body.clear();
  return true;
}

/// Interim responses (1xx) and those of other calls are skipped.
bool isSkipped(const ActiveCall &call) {
  return call.Ignoring || net::isInterimStatus(call.Reader->Head.Status);
}

void readResponse(Client &client, std::uint64_t id) {
  for (;;) {
    const auto it = client.Calls.find(id);
    if (it == client.Calls.end())
      return;
    ActiveCall &call = *it->second;
    Connection &link = *call.Link;
    call.Began = call.Began || !link.In.empty();
    const std::size_t used = feed(*call.Reader, link.In);
    link.In.erase(0, used);
    call.Received += call.Reader->Body.size();
    if (call.Reader->State == ReadState::Failed ||
        (call.Reader->State != ReadState::Done && link.In.size() > MaxUnparsedBytes)) {
      endCall(client, id, Failure::Malformed);
      return;
    }
    if (call.Received > call.What.MaxResponseBytes) {
      endCall(client, id, Failure::TooLarge);
      return;
    }
    const bool interim =
        call.Reader->State != ReadState::Head && net::isInterimStatus(call.Reader->Head.Status);
    if (!interim && !handOn(client, id))
      return;
    if (call.Reader->State != ReadState::Done)
      return;
    if (!isSkipped(call)) {
      completeCall(call);
      return;
    }
    if (!call.Reader->KeepAlive) {
      endCall(client, id, Failure::Broken);
      return;
    }
    if (++call.Skipped > MaxSkippedResponses) {
      endCall(client, id, Failure::TooManyResponses);
      return;
    }
    // An interim response is of this call.
    call.Began = !call.Ignoring;
    call.Reader = std::make_unique<ResponseReader>();
    call.HeadSeen = call.Ignoring = false;
  }
}

/// Completes or fails a call whose response the server has ended with its side of the connection. A
/// server that dies while it receives the request ends its side like one that answers early. The
/// former resets the connection when more of the request arrives, the latter receives the rest.
/// Until one of these happens, the call stays open.
void settleEndedResponse(Client &client, std::uint64_t id) {
  const auto it = client.Calls.find(id);
  if (it == client.Calls.end())
    return;
  ActiveCall &call = *it->second;
  if (takeError(call.Link->Fd) != 0) {
    endCall(client, id, Failure::Broken);
    return;
  }
  if (!isAcknowledged(*call.Link))
    return;
  feedEnd(*call.Reader);
  if (handOn(client, id))
    completeCall(call);
}

void onEndOfInput(Connection &c, bool orderly) {
  Client &client = *c.Owner;
  const std::uint64_t id = c.CallId;
  const auto it = client.Calls.find(id);
  if (it == client.Calls.end()) {
    dropConnection(c);
    return;
  }
  const ActiveCall &call = *it->second;
  if (orderly && !call.Ignoring && endsNow(*call.Reader)) {
    c.ResponseEnded = true;
    ev_io_stop(client.Loop->Raw.get(), &c.ReadWatcher);
    settleEndedResponse(client, id);
    return;
  }
  const bool nothingSent = c.OutAt == 0;
  endCall(client, id, nothingSent ? Failure::NotSent : Failure::Broken);
}

/// Leaves the rest of a large response in the socket while the memory budget has no room for it.
void pauseIfCrowded(const Client &client, ActiveCall &call) {
  if (client.Options.Memory == nullptr || call.Received <= limits::SmallBytes ||
      limits::hasRoom(*client.Options.Memory, ReadPauseBytes))
    return;
  call.Link->ReadPaused = true;
  ev_io_stop(client.Loop->Raw.get(), &call.Link->ReadWatcher);
}

void resumePaused(Client &client) {
  for (const auto &[c, owner] : client.Connections)
    if (c->ReadPaused && limits::hasRoom(*client.Options.Memory, ReadPauseBytes)) {
      c->ReadPaused = false;
      ev_io_start(client.Loop->Raw.get(), &c->ReadWatcher);
    }
}

void onReadable(Connection &c) {
  const IoState state = readSome(c.Fd, c.In);
  if (state == IoState::Blocked)
    return;
  if (state != IoState::Ok) {
    onEndOfInput(c, state == IoState::Ended);
    return;
  }
  if (c.CallId == 0) {
    // Bytes without a call belong to nobody.
    ++c.Owner->Counters.IgnoredResponses;
    dropConnection(c);
    return;
  }
  Client &client = *c.Owner;
  const std::uint64_t id = c.CallId;
  readResponse(client, id);
  if (const auto call = client.Calls.find(id); call != client.Calls.end())
    pauseIfCrowded(client, *call->second);
}

bool isOverdue(const ActiveCall &call, TimePoint at) {
  return call.What.Timeout > Duration{0} && at - call.Started > call.What.Timeout;
}

void onWritable(Connection &c) {
  Client &client = *c.Owner;
  const auto call = client.Calls.find(c.CallId);
  if (c.OutAt == 0 && call != client.Calls.end() && isOverdue(*call->second, now())) {
    endCall(client, c.CallId, Failure::NotSent);
    return;
  }
  if (!c.Connected) {
    if (takeError(c.Fd) != 0) {
      endCall(client, c.CallId, Failure::NotSent);
      return;
    }
    c.Connected = true;
    ev_io_start(client.Loop->Raw.get(), &c.ReadWatcher);
  }
  const IoState state = writeRequest(c);
  if (state == IoState::Failed) {
    endCall(client, c.CallId, c.OutAt == 0 ? Failure::NotSent : Failure::Broken);
    return;
  }
  if (state == IoState::Blocked) {
    ev_io_start(client.Loop->Raw.get(), &c.WriteWatcher);
    return;
  }
  ev_io_stop(client.Loop->Raw.get(), &c.WriteWatcher);
  if (c.ResponseEnded)
    settleEndedResponse(client, c.CallId);
}

Connection *openConnection(Client &client, const std::string &address) {
  const auto parsed = net::parseAddress(address);
  const int fd = parsed ? connectTo(*parsed) : -1;
  if (fd < 0)
    return nullptr;
  ++client.Counters.Opened;
  auto it = std::make_unique<Connection>();
  it->Owner = &client;
  it->Address = address;
  it->Fd = fd;
  ev_io_init(
      &it->ReadWatcher,
      [](struct ev_loop *, ev_io *w, int) { onReadable(*static_cast<Connection *>(w->data)); }, fd,
      EV_READ);
  ev_io_init(
      &it->WriteWatcher,
      [](struct ev_loop *, ev_io *w, int) { onWritable(*static_cast<Connection *>(w->data)); }, fd,
      EV_WRITE);
  it->ReadWatcher.data = it->WriteWatcher.data = it.get();
  Connection *raw = it.get();
  client.Connections.emplace(raw, std::move(it));
  return raw;
}

/// The most recently used idle connection: others may then expire.
Connection *takeIdle(Client &client, const std::string &address) {
  const auto it = client.Idle.find(address);
  if (it == client.Idle.end())
    return nullptr;
  Connection *c = it->second.back();
  it->second.pop_back();
  if (it->second.empty())
    client.Idle.erase(it);
  if (c->IdleUntil <= now()) {
    dropConnection(*c);
    return takeIdle(client, address);
  }
  // A server's close that has arrived but not been read yet ends the connection here, before the
  // request is sent into it.
  char byte = 0;
  const ssize_t n = recv(c->Fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
    dropConnection(*c);
    return takeIdle(client, address);
  }
  c->Reused = true;
  ++client.Counters.Reused;
  return c;
}

/// Head of a request, and its body unless that is shared.
std::string requestText(const Call &call) {
  const std::size_t length = call.SharedBody ? call.SharedBody->size() : call.Body.size();
  std::string out = call.Head.Method + " " + call.Head.Target + " HTTP/1.1\r\n";
  for (const auto &[name, value] : call.Head.Fields)
    out.append(name).append(": ").append(value).append("\r\n");
  if (find(call.Head.Fields, "Host") == nullptr)
    out.append("Host: ").append(call.Address).append("\r\n");
  const bool hasBody = length > 0 || (call.Head.Method != "GET" && call.Head.Method != "HEAD" &&
                                      call.Head.Method != "DELETE");
  if (hasBody)
    out.append("Content-Length: ").append(std::to_string(length)).append("\r\n");
  return out.append("\r\n").append(call.SharedBody ? std::string_view{} : call.Body);
}

/// A request that only the socket still holds is acknowledged or reset without an event.
void settleEndedResponses(Client &client) {
  std::vector<std::uint64_t> ended;
  for (const auto &[id, call] : client.Calls)
    if (call->Link != nullptr && call->Link->ResponseEnded)
      ended.push_back(id);
  for (const std::uint64_t id : ended)
    settleEndedResponse(client, id);
}

void sweep(Client &client) {
  const TimePoint at = now();
  std::vector<std::pair<std::uint64_t, Failure>> late;
  for (const auto &[id, call] : client.Calls) {
    const Duration age = at - call->Started;
    if (isOverdue(*call, at))
      late.emplace_back(id, call->Link != nullptr && call->Link->OutAt > 0 ? Failure::Timeout
                                                                           : Failure::NotSent);
    else if (call->Link != nullptr && !call->Link->Connected && age > call->What.ConnectTimeout)
      late.emplace_back(id, Failure::NotSent);
  }
  for (const auto &[id, failure] : late)
    endCall(client, id, failure);
  settleEndedResponses(client);
  resumePaused(client);
  std::vector<Connection *> old;
  for (const auto &[address, idle] : client.Idle)
    for (Connection *c : idle)
      if (c->IdleUntil <= at)
        old.push_back(c);
  for (Connection *c : old)
    dropConnection(*c);
}

} // namespace

const char *toString(Failure failure) {
  switch (failure) {
  case Failure::None:
    return "none";
  case Failure::NotSent:
    return "not_sent";
  case Failure::Broken:
    return "broken";
  case Failure::Malformed:
    return "malformed";
  case Failure::Timeout:
    return "timeout";
  case Failure::TooLarge:
    return "too_large";
  case Failure::TooManyResponses:
    return "too_many_responses";
  }
  return "unknown";
}

void ClientDeleter::operator()(Client *client) const {
  net::cancel(*client->Timers, client->Sweep);
  client->Calls.clear();
  while (!client->Connections.empty())
    dropConnection(*client->Connections.begin()->first);
  delete client;
}

ClientPtr makeClient(net::Loop &loop, net::TimerService &timers, ClientOptions options) {
  ClientPtr client(new Client);
  client->Loop = &loop;
  client->Timers = &timers;
  client->Options = options;
  client->Sweep = net::every(timers, SweepPeriod, [raw = client.get()] { sweep(*raw); });
  return client;
}

std::uint64_t startCall(Client &client, Call call, CallEvents events) {
  const std::uint64_t id = client.NextId++;
  auto active = std::make_unique<ActiveCall>();
  active->Id = id;
  active->Events = std::move(events);
  active->Started = now();
  active->Reader = std::make_unique<ResponseReader>();
  Connection *link = call.ReuseConnection ? takeIdle(client, call.Address) : nullptr;
  if (link == nullptr)
    link = openConnection(client, call.Address);
  active->Link = link;
  if (link != nullptr) {
    link->CallId = id;
    link->Out = requestText(call);
    link->OutAt = 0;
    link->SharedBody = std::move(call.SharedBody);
    link->SharedAt = 0;
    if (call.ResetIfIncomplete)
      setResetOnClose(link->Fd, true);
    // Written from the loop; errors are reported there and not from within this call.
    ev_io_start(client.Loop->Raw.get(), &link->WriteWatcher);
  }
  std::string().swap(call.Body);
  active->What = std::move(call);
  client.Calls.emplace(id, std::move(active));
  if (link == nullptr)
    net::after(*client.Timers, Duration{0},
               [&client, id] { endCall(client, id, Failure::NotSent); });
  return id;
}

void cancelCall(Client &client, std::uint64_t id) {
  const auto it = client.Calls.find(id);
  if (it == client.Calls.end())
    return;
  const std::unique_ptr<ActiveCall> call = std::move(it->second);
  client.Calls.erase(it);
  if (call->Link != nullptr && call->Link->CallId == id)
    dropConnection(*call->Link);
}

void forgetAddress(Client &client, const std::string &address) {
  const auto it = client.Idle.find(address);
  if (it == client.Idle.end())
    return;
  const std::deque<Connection *> idle = it->second;
  for (Connection *c : idle)
    dropConnection(*c);
}

std::size_t openCalls(const Client &client) { return client.Calls.size(); }
std::size_t openConnections(const Client &client) { return client.Connections.size(); }
const ClientCounters &counters(const Client &client) { return client.Counters; }

} // namespace chervil::http
