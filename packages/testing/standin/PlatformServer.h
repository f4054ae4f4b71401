// The platform stand-in: key-value service, VM list, cloud API and weight store on one port. Use:
//   auto platform = startPlatform(loop, {.Port = 7000});
//   port(*(*platform)->Http);
// docs/platform.md states the calls it answers. Runs on the loop's thread.
#ifndef CHERVIL_TESTING_STANDIN_PLATFORMSERVER_H
#define CHERVIL_TESTING_STANDIN_PLATFORMSERVER_H

#include "base/Error.h"
#include "net/HttpServer.h"
#include "net/TimerService.h"
#include "testing/standin/Json.h"
#include "testing/standin/KvStore.h"
#include "testing/standin/VmTable.h"
#include "testing/standin/WeightQueue.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chervil::standin {

struct PlatformOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  Duration BootTime{2000000};
  double WeightRate = 1e9;
  double WeightBytes = 8e9;
  std::size_t WeightWaiting = 4;
  /// Sizes that differ from WeightBytes, by model.
  std::map<std::string, double> Weights;
  /// VMs present at the start.
  Json Vms = Json::array();
  Json Prices = Json::array();
};

enum class PlatformService : std::uint8_t { Kv, Vms, Cloud, Weights };
constexpr std::size_t PlatformServices = 4;

enum class OutageMode : std::uint8_t { Off, Refuse, Hang };

struct PlatformFaults {
  Duration Latency{0};
  OutageMode Outage = OutageMode::Off;
  /// Requests without an answer while the service hangs.
  std::vector<std::uint64_t> Held;
};

struct PlatformCounters {
  std::uint64_t Calls = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Lists = 0;
  std::uint64_t Watches = 0;
  std::uint64_t LeaseCalls = 0;
  std::uint64_t Conflicts = 0;
  std::uint64_t LostAnswers = 0;
  std::uint64_t VmCalls = 0;
  std::uint64_t CloudCalls = 0;
  std::uint64_t WeightCalls = 0;
};

enum class PollKind : std::uint8_t { Kv, Vms, Notices };

/// A long poll without news so far.
struct Poll {
  PollKind Kind = PollKind::Kv;
  std::string Prefix;
  std::uint64_t After = 0;
  net::TimerId Deadline = 0;
};

struct PlatformServer {
  explicit PlatformServer(net::Loop &loop) : Timers(loop) {}

  PlatformOptions Options;
  net::TimerService Timers;
  KvStore Kv;
  VmTable Vms;
  WeightQueue Weights;
  PlatformCounters Counters;
  std::array<PlatformFaults, PlatformServices> Faults;
  std::uint64_t AnswersToLose = 0;
  /// By request id.
  std::map<std::uint64_t, Poll> Polls;
  net::HttpServerPtr Http;
};

/// The loop must outlive the server.
Result<std::unique_ptr<PlatformServer>> startPlatform(net::Loop &loop, PlatformOptions options);

namespace detail {

/// Answers after the service's latency.
void answer(PlatformServer &server, PlatformService service, std::uint64_t id, int status,
            const Json &json, net::NamedValues headers = {});

/// Answers a poll if there is news, the request does not wait, or its position is invalid; keeps it
/// otherwise.
void startPoll(PlatformServer &server, const net::HttpRequest &request, Poll poll);

/// Answers the polls of a kind that have news.
void answerPolls(PlatformServer &server, PollKind kind);

void serveKv(PlatformServer &server, const net::HttpRequest &request);
void serveCloud(PlatformServer &server, const net::HttpRequest &request);
void serveWeights(PlatformServer &server, const net::HttpRequest &request);
void servePlatformControl(PlatformServer &server, const net::HttpRequest &request);

} // namespace detail
} // namespace chervil::standin

#endif
