#include "net/HttpClient.h"

#include "net/HttpSyntax.h"
#include "net/SocketOptions.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <curl/curl.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervil::net {
namespace {

struct Transfer {
  HttpClient *Client = nullptr;
  std::uint64_t Id = 0;
  CURL *Easy = nullptr;
  curl_slist *HeaderList = nullptr;
  HttpCall Call;
  HttpCallbacks Callbacks;
  NamedValues Headers;
  int Status = 0;
  /// The status line of a head has been read, but not its end.
  bool InHead = false;
  bool HeadDone = false;
  /// The answer has no length and ends with the connection.
  bool EndsWithConnection = false;
  /// Bytes of the request were not acknowledged when the socket was given up.
  bool HasUnacknowledged = false;
  bool Cancelled = false;
};

struct SocketWatcher {
  HttpClient *Client = nullptr;
  ev_io Io{};
};

} // namespace

struct HttpClient {
  HttpClientOptions Options;
  struct ev_loop *Loop = nullptr;
  CURLM *Multi = nullptr;
  ev_timer Timer{};
  ev_prepare Prepare{};
  std::uint64_t NextId = 1;
  /// True while libcurl is on the stack, when handles must not be removed.
  bool Busy = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<Transfer>> Transfers;
  std::vector<std::uint64_t> Cancelled;
  /// Calls started from a callback of libcurl, which accepts no new handle while it is on the
  /// stack (CURLM_RECURSIVE_API_CALL).
  std::vector<std::uint64_t> Postponed;
  std::vector<CURL *> IdleHandles;
};

namespace {

void release(HttpClient &client, Transfer &t) {
  curl_multi_remove_handle(client.Multi, t.Easy);
  curl_slist_free_all(t.HeaderList);
  curl_easy_reset(t.Easy);
  client.IdleHandles.push_back(t.Easy);
}

/// True if the connection ended an answer without length before the server had received the
/// request. It ends like that, too, when the server dies while it receives the request.
bool endedEarly(const Transfer &t) {
  curl_off_t sent = 0;
  curl_easy_getinfo(t.Easy, CURLINFO_SIZE_UPLOAD_T, &sent);
  const bool isSent = sent >= static_cast<curl_off_t>(t.Call.Body.size());
  return t.EndsWithConnection && (!isSent || t.HasUnacknowledged);
}

void finish(HttpClient &client, Transfer &t, CURLcode code) {
  HttpEnd end;
  end.Status = t.HeadDone ? t.Status : 0;
  if (code == CURLE_OK && endedEarly(t)) {
    end.Error = "the connection ended before the server had received the request";
    end.Failure = HttpFailure::Broken;
  }
  if (code != CURLE_OK) {
    long sent = 0;
    curl_easy_getinfo(t.Easy, CURLINFO_REQUEST_SIZE, &sent);
    end.Error = curl_easy_strerror(code);
    end.Failure = sent == 0                          ? HttpFailure::NotSent
                  : code == CURLE_OPERATION_TIMEDOUT ? HttpFailure::Timeout
                                                     : HttpFailure::Broken;
  }
  release(client, t);
  const auto it = client.Transfers.find(t.Id);
  const std::unique_ptr<Transfer> owned = std::move(it->second);
  client.Transfers.erase(it);
  if (!owned->Cancelled && owned->Callbacks.OnEnd)
    owned->Callbacks.OnEnd(end);
}

void reap(HttpClient &client) {
  int left = 0;
  while (CURLMsg *message = curl_multi_info_read(client.Multi, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    Transfer *t = nullptr;
    const CURLcode code = message->data.result;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &t);
    finish(client, *t, code);
  }
  for (const std::uint64_t id : std::exchange(client.Cancelled, {})) {
    const auto it = client.Transfers.find(id);
    if (it == client.Transfers.end())
      continue;
    release(client, *it->second);
    client.Transfers.erase(it);
  }
  for (const std::uint64_t id : std::exchange(client.Postponed, {})) {
    const auto it = client.Transfers.find(id);
    if (it != client.Transfers.end())
      curl_multi_add_handle(client.Multi, it->second->Easy);
  }
}

void act(HttpClient &client, curl_socket_t socket, int events) {
  int running = 0;
  client.Busy = true;
  curl_multi_socket_action(client.Multi, socket, events, &running);
  client.Busy = false;
  reap(client);
}

int watchSocket(CURL *easy, curl_socket_t socket, int what, void *cls, void *socketCls) {
  auto &client = *static_cast<HttpClient *>(cls);
  auto *watcher = static_cast<SocketWatcher *>(socketCls);
  if (what == CURL_POLL_REMOVE) {
    Transfer *t = nullptr;
    if (curl_easy_getinfo(easy, CURLINFO_PRIVATE, &t) == CURLE_OK && t != nullptr)
      t->HasUnacknowledged = unacknowledgedBytes(socket) > 0;
    if (watcher != nullptr) {
      ev_io_stop(client.Loop, &watcher->Io);
      curl_multi_assign(client.Multi, socket, nullptr);
      delete watcher;
    }
    return 0;
  }
  if (watcher == nullptr) {
    watcher = new SocketWatcher;
    watcher->Client = &client;
    ev_init(&watcher->Io, [](struct ev_loop *, ev_io *w, int events) {
      auto &it = *static_cast<SocketWatcher *>(w->data);
      const int flags = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                        ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
      act(*it.Client, w->fd, flags);
    });
    watcher->Io.data = watcher;
    curl_multi_assign(client.Multi, socket, watcher);
  }
  ev_io_stop(client.Loop, &watcher->Io);
  const int events =
      ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
  ev_io_set(&watcher->Io, socket, events);
  ev_io_start(client.Loop, &watcher->Io);
  return 0;
}

int setTimer(CURLM *, long ms, void *cls) {
  auto &client = *static_cast<HttpClient *>(cls);
  ev_timer_stop(client.Loop, &client.Timer);
  if (ms >= 0) {
    ev_timer_set(&client.Timer, static_cast<double>(ms) / 1000.0, 0.0);
    ev_timer_start(client.Loop, &client.Timer);
  }
  return 0;
}

std::string lower(std::string_view text) {
  std::string out(text);
  std::ranges::transform(out, out.begin(), [](unsigned char ch) { return std::tolower(ch); });
  return out;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.front())) != 0)
    text.remove_prefix(1);
  while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0)
    text.remove_suffix(1);
  return text;
}

/// True if the answer of a head has a body without length (RFC 9112, section 6.3).
bool endsWithConnection(const Transfer &t) {
  constexpr int noContent = 204;
  constexpr int notModified = 304;
  const bool hasBody = t.Status != noContent && t.Status != notModified && t.Call.Method != "HEAD";
  return hasBody && std::ranges::none_of(t.Headers, [](const auto &it) {
           return it.first == "content-length" || it.first == "transfer-encoding";
         });
}

void announceHead(Transfer &t) {
  if (t.HeadDone)
    return;
  t.HeadDone = true;
  t.EndsWithConnection = endsWithConnection(t);
  if (!t.Cancelled && t.Callbacks.OnHead)
    t.Callbacks.OnHead(t.Status, t.Headers);
}

/// Status code of a status line; 0 if there is none of three digits.
int statusOf(std::string_view line) {
  std::string_view code = line.substr(std::min(line.find(' '), line.size() - 1) + 1);
  code = code.substr(0, code.find(' '));
  int status = 0;
  const auto [end, ec] = std::from_chars(code.data(), code.data() + code.size(), status);
  return ec == std::errc() && end == code.data() + code.size() && code.size() == 3 ? status : 0;
}

/// Takes the first line of an answer. Returns false if its status is not allowed.
bool takeStatus(Transfer &t, std::string_view line) {
  const int status = statusOf(line);
  t.Headers.clear();
  t.Status = 0;
  if (!isFinalStatus(status) && !isInterimStatus(status))
    return false;
  t.Status = status;
  t.InHead = true;
  return true;
}

/// Takes a line of a head behind the first. Returns false if it is no field.
bool takeField(Transfer &t, std::string_view line) {
  if (line.front() == ' ' || line.front() == '\t') {
    // A folded line continues the value before it (RFC 9112, section 5.2).
    if (t.Headers.empty() || !isFieldValue(line))
      return false;
    t.Headers.back().second.append(" ").append(trim(line));
    return true;
  }
  const std::size_t colon = std::min(line.find(':'), line.size());
  const std::string_view name = line.substr(0, colon);
  const std::string_view value = line.substr(std::min(colon + 1, line.size()));
  if (colon == line.size() || !isFieldName(name) || !isFieldValue(value))
    return false;
  t.Headers.emplace_back(lower(name), std::string(trim(value)));
  return true;
}

void endHead(Transfer &t) {
  t.InHead = false;
  if (isFinalStatus(t.Status))
    announceHead(t);
}

std::string_view withoutLineEnd(std::string_view line) {
  if (line.ends_with('\n'))
    line.remove_suffix(1);
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

/// Takes a line of a head, as it was received. libcurl passes on fields whose names hold any bytes,
/// and ignores those that are framing but for a blank. Returning 0 ends the transfer with an error.
std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *cls) {
  auto &t = *static_cast<Transfer *>(cls);
  const std::size_t n = size * count;
  const std::string_view line = withoutLineEnd({data, n});
  // Trailers are not kept.
  if (t.HeadDone)
    return n;
  if (!t.InHead)
    return takeStatus(t, line) ? n : 0;
  if (!line.empty())
    return takeField(t, line) ? n : 0;
  endHead(t);
  return n;
}

std::size_t readBody(char *data, std::size_t size, std::size_t count, void *cls) {
  auto &t = *static_cast<Transfer *>(cls);
  if (!t.Cancelled && t.Callbacks.OnData)
    t.Callbacks.OnData({data, size * count});
  return size * count;
}

CURL *takeHandle(HttpClient &client) {
  if (client.IdleHandles.empty())
    return curl_easy_init();
  CURL *easy = client.IdleHandles.back();
  client.IdleHandles.pop_back();
  return easy;
}

void configure(Transfer &t) {
  CURL *easy = t.Easy;
  const HttpCall &call = t.Call;
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_URL, call.Url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.Method.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.ConnectTimeout.count()));
  if (call.TotalTimeout.count() > 0)
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.TotalTimeout.count()));
  if (call.IdleTimeout.count() > 0) {
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, static_cast<long>(call.IdleTimeout.count()));
  }
  if (!call.ReuseConnection) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (!t.Client->Options.CaFile.empty())
    curl_easy_setopt(easy, CURLOPT_CAINFO, t.Client->Options.CaFile.c_str());
  if (call.Method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (!call.Body.empty() || call.Method == "POST" || call.Method == "PUT" ||
             call.Method == "PATCH") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.Body.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.Body.size()));
  }
  // An Expect header would add a round trip to every larger request.
  t.HeaderList = curl_slist_append(nullptr, "Expect:");
  for (const auto &[name, value] : call.Headers) {
    std::string line = name;
    line.append(": ").append(value);
    t.HeaderList = curl_slist_append(t.HeaderList, line.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, t.HeaderList);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, readHeader);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &t);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, readBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &t);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &t);
  // Small buffers keep the memory per open stream low; 16 KiB is the least libcurl uploads with.
  curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 2048L);
  curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, 16384L);
}

} // namespace

HttpClientPtr makeHttpClient(Loop &loop, HttpClientOptions options) {
  static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)initialised;
  HttpClientPtr client(new HttpClient);
  client->Options = std::move(options);
  client->Loop = loop.Raw.get();
  client->Multi = curl_multi_init();
  curl_multi_setopt(client->Multi, CURLMOPT_SOCKETFUNCTION, watchSocket);
  curl_multi_setopt(client->Multi, CURLMOPT_SOCKETDATA, client.get());
  curl_multi_setopt(client->Multi, CURLMOPT_TIMERFUNCTION, setTimer);
  curl_multi_setopt(client->Multi, CURLMOPT_TIMERDATA, client.get());
  curl_multi_setopt(client->Multi, CURLMOPT_MAXCONNECTS, client->Options.MaxIdleConnections);
  ev_init(&client->Timer, [](struct ev_loop *, ev_timer *w, int) {
    act(*static_cast<HttpClient *>(w->data), CURL_SOCKET_TIMEOUT, 0);
  });
  client->Timer.data = client.get();
  ev_prepare_init(&client->Prepare, [](struct ev_loop *, ev_prepare *w, int) {
    auto &it = *static_cast<HttpClient *>(w->data);
    if (!it.Cancelled.empty())
      reap(it);
  });
  client->Prepare.data = client.get();
  ev_prepare_start(client->Loop, &client->Prepare);
  return client;
}

void HttpClientDeleter::operator()(HttpClient *client) const {
  ev_timer_stop(client->Loop, &client->Timer);
  ev_prepare_stop(client->Loop, &client->Prepare);
  for (auto &[id, t] : client->Transfers)
    release(*client, *t);
  client->Transfers.clear();
  for (CURL *easy : client->IdleHandles)
    curl_easy_cleanup(easy);
  curl_multi_cleanup(client->Multi);
  delete client;
}

std::uint64_t startCall(HttpClient &client, HttpCall call, HttpCallbacks callbacks) {
  auto t = std::make_unique<Transfer>();
  t->Client = &client;
  t->Id = client.NextId++;
  t->Call = std::move(call);
  t->Callbacks = std::move(callbacks);
  t->Easy = takeHandle(client);
  configure(*t);
  const std::uint64_t id = t->Id;
  CURL *easy = t->Easy;
  client.Transfers.emplace(id, std::move(t));
  if (client.Busy)
    client.Postponed.push_back(id);
  else
    curl_multi_add_handle(client.Multi, easy);
  return id;
}

void cancelCall(HttpClient &client, std::uint64_t id) {
  const auto it = client.Transfers.find(id);
  if (it == client.Transfers.end() || it->second->Cancelled)
    return;
  it->second->Cancelled = true;
  client.Cancelled.push_back(id);
}

std::size_t openCalls(const HttpClient &client) { return client.Transfers.size(); }

} // namespace chervil::net
