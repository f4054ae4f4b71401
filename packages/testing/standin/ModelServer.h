// The model engine stand-in. Use:
//   auto engine = startModel(loop, {.Port = 9001, .Name = "e1", .Model = "redactor"});
// docs/platform.md, section 5, states the calls it answers. Runs on the loop's thread.
#ifndef CHERVIL_TESTING_STANDIN_MODELSERVER_H
#define CHERVIL_TESTING_STANDIN_MODELSERVER_H

#include "base/Error.h"
#include "base/Random.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/TimerService.h"
#include "testing/ExpectedAnswer.h"
#include "testing/standin/Batch.h"
#include "testing/standin/Json.h"
#include "testing/standin/LoadHistory.h"
#include "testing/standin/OrderBook.h"
#include "testing/standin/PrefixCache.h"
#include "testing/standin/Registration.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervil::standin {

struct ModelOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  std::string Name = "engine";
  std::string Model = "redactor";
  BatchOptions Batch;
  std::uint32_t CacheTokens = 200000;
  Duration CacheEventDelay{1000000};
  /// Share of cache events that are never shown.
  double CacheEventLoss = 0.02;
  Duration ReportLag{500000};
  /// KV cache bytes per token, and bytes per second of a transfer.
  double KvBytesPerToken = 100000;
  double KvRate = 2e9;
  bool CheckFencing = false;
  /// Time of load_model without a platform.
  Duration LoadTime{2000000};
  std::size_t MaxModels = 1;
  std::string CrashMarker;
  Registration Register;
};

struct EngineRequest {
  std::uint64_t Id = 0;
  /// Request of the HTTP server; 0 once it is answered.
  std::uint64_t HttpId = 0;
  std::string RequestId;
  std::string Model;
  bool Stream = false;
  bool Running = false;
  testing::ExpectedAnswer Answer;
  std::vector<CacheBlock> Chain;
  std::string ImportHandle;
  /// Tokens of the continuation, and tokens present now, continuation included.
  std::uint32_t Continued = 0;
  std::uint32_t Produced = 0;
  std::uint32_t Cached = 0;
  /// Answer so far of a request without a stream.
  std::string Text;
  bool HasMarker = false;
};

struct EngineLogEntry {
  std::string RequestId;
  std::int64_t ArrivedMs = 0;
  std::int64_t StartedMs = 0;
  std::int64_t EndedMs = 0;
  const char *State = "queued";
  std::uint32_t Tokens = 0;
  std::uint32_t Continued = 0;
  unsigned Priority = 1;
};

struct CacheEvent {
  std::uint64_t Seq = 0;
  TimePoint ShownAt;
  CacheChange Change;
};

struct KvExport {
  std::string RequestId;
  std::uint32_t PromptTokens = 0;
  std::uint32_t Tokens = 0;
};

struct EndedRequest {
  TimePoint At;
  KvExport State;
};

struct ModelCounters {
  std::uint64_t Requests = 0;
  std::uint64_t Done = 0;
  std::uint64_t Cancelled = 0;
  std::uint64_t Tokens = 0;
  std::uint64_t PrefillTokens = 0;
  std::uint64_t CachedTokens = 0;
  std::uint64_t RecomputedTokens = 0;
  std::uint64_t ImportedTokens = 0;
  std::uint64_t BadContinuations = 0;
};

struct ModelServer {
  explicit ModelServer(net::Loop &loop) : Timers(loop) {}

  ModelOptions Options;
  net::TimerService Timers;
  net::HttpServerPtr Http;
  net::HttpClientPtr Client;
  Random Rng;
  Batch Work;
  bool StepRunning = false;
  bool Frozen = false;
  bool StepDue = false;
  std::vector<net::HttpRequest> Held;
  Duration Latency{0};
  PrefixCache Cache;
  LoadHistory Load;
  OrderBook Orders;
  /// Oldest first.
  std::vector<std::string> Models;
  std::set<std::string> Loading;
  std::set<std::string> Adapters;
  std::string Role = "mixed";
  std::uint64_t NextId = 1;
  std::map<std::uint64_t, EngineRequest> Requests;
  std::map<std::string, std::uint64_t> ByRequestId;
  std::map<std::uint64_t, std::uint64_t> ByHttpId;
  /// Log entries by sequence; requests refer to theirs by id.
  std::map<std::uint64_t, EngineLogEntry> Log;
  std::deque<CacheEvent> CacheEvents;
  std::uint64_t CacheSeq = 0;
  std::map<std::string, KvExport> Exports;
  std::map<std::string, EndedRequest> Ended;
  std::uint64_t TokensAtSample = 0;
  ModelCounters Counters;
};

/// The loop must outlive the server.
Result<std::unique_ptr<ModelServer>> startModel(net::Loop &loop, ModelOptions options);

namespace detail {

/// Answers with the header X-Engine-Load.
void answer(ModelServer &server, std::uint64_t httpId, int status, const Json &json,
            net::NamedValues headers = {});

void serveModelRequest(ModelServer &server, net::HttpRequest &&request);
void serveCompletion(ModelServer &server, const net::HttpRequest &request);
void serveModelControl(ModelServer &server, const net::HttpRequest &request);
void serveOrders(ModelServer &server, const net::HttpRequest &request);
void serveKvTransfer(ModelServer &server, const net::HttpRequest &request);

/// Admits queued work and starts a step unless one runs.
void pump(ModelServer &server);

/// Ends a request early: cancelled by its caller or by DELETE.
void cancelRequest(ModelServer &server, std::uint64_t id);

/// Ends the process as a crash does, without closing anything.
[[noreturn]] void crash(const char *reason);

} // namespace detail
} // namespace chervil::standin

#endif
