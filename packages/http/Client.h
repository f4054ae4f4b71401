// HTTP/1.1 client with kept connections on the event loop's own sockets. Use:
//   auto client = makeClient(loop, timers, {});
//   startCall(*client, {.Address = "10.0.0.1:80", .Head = {...}}, {.OnEnd = [](const End &e)
//   {...}});
// Unlike libcurl it never sends a request a second time by itself, so that a request that must run
// at most once may use a kept connection. Not thread-safe.
#ifndef CHERVIL_HTTP_CLIENT_H
#define CHERVIL_HTTP_CLIENT_H

#include "base/Time.h"
#include "http/Fields.h"
#include "limits/MemoryBudget.h"
#include "net/Loop.h"
#include "net/TimerService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chervil::http {

/// Larger than any value or page of the store, which holds at most 1 MiB in base64.
inline constexpr std::uint64_t DefaultMaxResponseBytes = std::uint64_t{8} << 20U;
/// Interim responses and responses of other calls that are skipped in one call. A server sends a
/// late copy of one response or a few interim heads, but a faulty one may send them without end.
inline constexpr unsigned MaxSkippedResponses = 8;

struct Call {
  /// IPv4 "ip:port".
  std::string Address;
  RequestHead Head;
  std::string Body;
  /// Sent instead of Body if set. A caller that keeps the body for repeats shares it, so that it is
  /// held once.
  std::shared_ptr<const std::string> SharedBody;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Bound on the whole call; zero for none. The request is not begun to be sent later, also by a
  /// process that was suspended meanwhile.
  std::chrono::milliseconds Timeout{0};
  /// Bound on the body bytes that are read for the call, including those of skipped responses.
  std::uint64_t MaxResponseBytes = DefaultMaxResponseBytes;
  /// False opens a new connection.
  bool ReuseConnection = true;
  /// Resets the connection if the call does not complete, also when the process is killed.
  /// Otherwise the kernel goes on to send unacknowledged bytes of the request after the close.
  bool ResetIfIncomplete = false;
};

enum class Failure : std::uint8_t {
  None,
  /// No byte of the request was sent: the server cannot have seen it.
  NotSent,
  /// The connection ended or was reset before the response was complete.
  Broken,
  /// The bytes are not a response: a head with an invalid status or a line that is no field, or
  /// framing that cannot be read.
  Malformed,
  Timeout,
  /// More body bytes than MaxResponseBytes.
  TooLarge,
  /// More skipped responses than MaxSkippedResponses.
  TooManyResponses,
};

const char *toString(Failure failure);

struct End {
  http::Failure Failure = Failure::None;
  /// The request went out on a connection that had carried an earlier one.
  bool Reused = false;
  /// The response had no length and was ended by the orderly close of the connection, after the
  /// server had received the whole request.
  bool EndedByClose = false;
  /// The connection ended inside the head of a response to this call, as far as that can be told
  /// from an incomplete head.
  bool EndedInHead = false;
};

struct CallEvents {
  /// Decides whether a response answers this call. One that does not is read and ignored: a server
  /// may send an additional response late. Absent: every response does.
  std::function<bool(const ResponseHead &)> Accepts;
  std::function<void(const ResponseHead &)> OnHead;
  std::function<void(std::string_view bytes)> OnData;
  /// Called exactly once unless the call is cancelled; the last event of the call.
  std::function<void(const End &)> OnEnd;
};

struct ClientOptions {
  std::size_t MaxIdlePerAddress = 32;
  /// An idle connection is closed after this time, or earlier when the server's Keep-Alive field
  /// says so.
  std::chrono::milliseconds IdleTimeout{4000};
  /// While a large response does not fit into this budget, it is not read further; null for no
  /// bound. The receiver of the response charges it. It must outlive the client.
  const limits::MemoryBudget *Memory = nullptr;
};

struct ClientCounters {
  std::uint64_t Opened = 0;
  std::uint64_t Reused = 0;
  std::uint64_t IgnoredResponses = 0;
  /// Complete responses that were followed by bytes that belong to no call.
  std::uint64_t TrailingBytes = 0;
};

/// Definition is internal to Client.cpp.
struct Client;
struct ClientDeleter {
  void operator()(Client *client) const;
};
using ClientPtr = std::unique_ptr<Client, ClientDeleter>;

/// Loop and timers must outlive the client.
ClientPtr makeClient(net::Loop &loop, net::TimerService &timers, ClientOptions options);

/// Starts a call and returns its id. Events come later, from the loop.
std::uint64_t startCall(Client &client, Call call, CallEvents events);

/// Ends a call without further events by closing its connection; ignored for one that has ended.
void cancelCall(Client &client, std::uint64_t id);

/// Closes idle connections to an address.
void forgetAddress(Client &client, const std::string &address);

std::size_t openCalls(const Client &client);
std::size_t openConnections(const Client &client);
const ClientCounters &counters(const Client &client);

} // namespace chervil::http

#endif
