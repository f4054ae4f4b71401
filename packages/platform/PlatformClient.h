// Shared base of the clients of platform services and engines: one HTTP client, a bound on calls
// at a time, counters by kind. Use:
//   PlatformClientPtr client = makePlatformClient(loop, timers, {.KvUrl = "http://10.0.0.9:2000"});
//   kvGet(*client, "config/head", [](const CallResult<KvItem> &r) {...});
#ifndef CHERVIL_PLATFORM_PLATFORMCLIENT_H
#define CHERVIL_PLATFORM_PLATFORMCLIENT_H

#include "net/HttpClient.h"
#include "net/TimerService.h"
#include "platform/CallKind.h"
#include "platform/CallResult.h"

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace chervil::platform {

struct PlatformOptions {
  std::string KvUrl;
  std::string VmsUrl;
  std::string CloudUrl;
  std::string WeightsUrl;
  /// PEM file of accepted authorities for https.
  std::string CaFile;
  std::chrono::milliseconds ConnectTimeout{1000};
  /// Bound on a call; a long poll may take its wait in addition.
  std::chrono::milliseconds RequestTimeout{2000};
  /// How long a service may hold a long poll without news.
  std::chrono::milliseconds PollWait{10'000};
  /// Long polls start at least this far apart, so that a service that answers at once, with or
  /// without news, costs at most 20 calls per second.
  std::chrono::milliseconds PollSpacing{50};
  /// Waits after failed long polls grow between these, with decorrelated jitter.
  std::chrono::milliseconds BackoffMin{50};
  std::chrono::milliseconds BackoffMax{5000};
  /// Calls at a time, long polls not counted; a call beyond it ends as NotSent.
  std::size_t MaxCalls = 64;
  /// Answers beyond this size are malformed.
  std::size_t MaxAnswer = 64 << 20;
  std::uint64_t Seed = 1;
};

struct CallCounters {
  /// Calls started, by kind.
  std::array<std::uint64_t, CallKindCount> Calls{};
  /// Calls that ended as NotSent or Unknown, by kind.
  std::array<std::uint64_t, CallKindCount> Failed{};
  /// Calls not started because of the bound.
  std::uint64_t OverBound = 0;
};

/// Definition is in detail/Client.h.
struct PlatformClient;
struct PlatformClientDeleter {
  void operator()(PlatformClient *client) const;
};
/// Destroying it ends all calls without callbacks; it may not be destroyed from one. Long polls and
/// lease holders must be destroyed before it.
using PlatformClientPtr = std::unique_ptr<PlatformClient, PlatformClientDeleter>;

/// The loop and the timers must outlive the client.
PlatformClientPtr makePlatformClient(net::Loop &loop, net::TimerService &timers,
                                     PlatformOptions options);

const CallCounters &counters(const PlatformClient &client);

/// A repeated long poll, for example a watch. Destroying it ends it, also from its own callback.
struct LongPoll;
using LongPollPtr = std::shared_ptr<LongPoll>;

/// Reports each failure of a long poll, for the log; it is repeated with backoff in any case.
using OnPollError = std::function<void(CallOutcome outcome, const std::string &error)>;

} // namespace chervil::platform

#endif
