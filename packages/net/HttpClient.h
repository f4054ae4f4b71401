// HTTP client on the event loop, by libcurl's multi socket interface. Use:
//   HttpClientPtr client = makeHttpClient(loop, {});
//   startCall(*client, {.Url = "http://127.0.0.1:80/x"}, {.OnEnd = [](const HttpEnd &e) {...}});
#ifndef CHERVIL_NET_HTTPCLIENT_H
#define CHERVIL_NET_HTTPCLIENT_H

#include "net/HttpRequest.h"
#include "net/Loop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace chervil::net {

struct HttpCall {
  std::string Method = "GET";
  std::string Url;
  NamedValues Headers;
  std::string Body;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Bound on the whole call; zero for none.
  std::chrono::milliseconds TotalTimeout{0};
  /// The call fails when no byte arrives for this long; zero for none. Whole seconds.
  std::chrono::seconds IdleTimeout{0};
  /// False forces a new connection. libcurl silently repeats a request, whatever its method, when
  /// a reused connection closes before the first byte of the answer; a call that must run at most
  /// once must therefore not reuse one.
  bool ReuseConnection = true;
};

enum class HttpFailure : std::uint8_t {
  None,
  /// Nothing was sent: the server cannot have seen the request.
  NotSent,
  /// The connection ended early, or ended an answer without length before the request was received,
  /// or the answer was malformed.
  Broken,
  Timeout,
};

struct HttpEnd {
  HttpFailure Failure = HttpFailure::None;
  /// Of the final answer; 0 if its head has not been read whole.
  int Status = 0;
  std::string Error;
};

struct HttpCallbacks {
  /// Status and headers of the final answer (header names in lower case), without trailers.
  std::function<void(int status, const NamedValues &headers)> OnHead;
  std::function<void(std::string_view bytes)> OnData;
  /// Called exactly once unless the call is cancelled; the last callback of the call.
  std::function<void(const HttpEnd &end)> OnEnd;
};

struct HttpClientOptions {
  /// Idle connections kept open.
  long MaxIdleConnections = 256;
  /// PEM file of accepted certificate authorities for https.
  std::string CaFile;
};

struct HttpClient;
struct HttpClientDeleter {
  void operator()(HttpClient *client) const;
};
using HttpClientPtr = std::unique_ptr<HttpClient, HttpClientDeleter>;

/// The loop must outlive the client.
HttpClientPtr makeHttpClient(Loop &loop, HttpClientOptions options);

/// Starts a call and returns its id. Callbacks come later, from the loop.
std::uint64_t startCall(HttpClient &client, HttpCall call, HttpCallbacks callbacks);

/// Ends a call without further callbacks; ignored for one that has ended. May be called from the
/// call's own callbacks.
void cancelCall(HttpClient &client, std::uint64_t id);

/// Calls that have not ended.
std::size_t openCalls(const HttpClient &client);

} // namespace chervil::net

#endif
