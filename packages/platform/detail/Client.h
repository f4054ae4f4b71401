// Internals shared by the clients of single services.
#ifndef CHERVIL_PLATFORM_DETAIL_CLIENT_H
#define CHERVIL_PLATFORM_DETAIL_CLIENT_H

#include "base/Random.h"
#include "platform/PlatformClient.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace chervil::platform {

struct PlatformClient {
  PlatformOptions Options;
  net::TimerService *Timers = nullptr;
  net::HttpClientPtr Http;
  Random Rng;
  CallCounters Counters;
  std::size_t OpenCalls = 0;
};

namespace detail {

using Json = nlohmann::json;

/// Status and parsed body; Value is discarded unless the body is JSON.
using RawResult = CallResult<Json>;

struct Request {
  CallKind Kind = CallKind::KvGet;
  std::string Method = "GET";
  std::string Url;
  std::string Body;
  /// Time for which the service may hold the answer back.
  std::chrono::milliseconds Wait{0};
  bool IsPoll = false;
  /// False for statuses of class 5 that the service documents as "not done".
  bool UnavailableIsUnknown = true;
};

/// Starts a call; the callback comes later, from the loop. Returns the id for cancelCall().
std::uint64_t start(PlatformClient &client, Request request,
                    std::function<void(RawResult &&)> callback);

/// `text` percent-encoded for a path; '/' is kept.
std::string encodePath(std::string_view text);
/// `text` percent-encoded for a query value.
std::string encodeQuery(std::string_view text);

/// Converts the body of a Done result; a body that does not have the published shape is Unknown.
template <typename T, typename F> CallResult<T> convert(RawResult &&raw, F parse) {
  CallResult<T> out{.Outcome = raw.Outcome,
                    .Value = {},
                    .Status = raw.Status,
                    .Error = std::move(raw.Error),
                    .RetryAfter = raw.RetryAfter};
  if (out.Outcome != CallOutcome::Done)
    return out;
  try {
    out.Value = parse(raw.Value);
  } catch (const std::exception &e) {
    out.Outcome = CallOutcome::Unknown;
    out.Error = e.what();
  }
  return out;
}

/// Wait before the next repetition: random between the minimum and three times the last wait.
std::chrono::milliseconds nextBackoff(PlatformClient &client, std::chrono::milliseconds last);

struct PollSpec {
  CallKind Kind = CallKind::KvWatch;
  /// URL for the present position.
  std::function<std::string()> Url;
  /// Takes a body and advances the position. True if it held news. Throws on a wrong shape.
  std::function<bool(const Json &)> Take;
  OnPollError OnError;
};

LongPollPtr startPoll(PlatformClient &client, PollSpec spec);

} // namespace detail
} // namespace chervil::platform

#endif
