// Everything routing knows; owned by one node, changed only by the functions of Routing.h.
#ifndef CHERVIL_ROUTING_STATE_H
#define CHERVIL_ROUTING_STATE_H

#include "routing/Backend.h"
#include "routing/LengthTable.h"
#include "routing/Options.h"
#include "routing/PrefixMap.h"
#include "routing/WorkRequest.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace chervil::routing {

/// Identifies a running request on this node; chosen by the caller of the package.
using RequestId = std::uint64_t;

/// What this node observed of one back end.
struct BackendObservations {
  std::uint64_t NameHash = 0;
  std::uint32_t MachineClass = 0;
  /// In the subset of this node for at least one target.
  bool InUse = false;

  std::uint32_t OwnRunning = 0;
  /// Tokens that this node's requests are still expected to generate.
  double OwnRemaining = 0;
  /// Prompt tokens of this node's requests that have no first byte yet.
  double OwnPrefill = 0;
  /// Requests of other nodes, from the last load report.
  std::uint32_t OthersRunning = 0;
  TimePoint ReportTaken{};
  /// Starts (+1) and ends (-1) of own requests since the last report was taken.
  std::vector<std::pair<TimePoint, std::int8_t>> Since;

  /// Observed time over normal time, and when it was last observed here.
  double SlowFactor = 1;
  TimePoint SlowFactorTime{};
  double LastNewsFactor = 1;
  std::uint64_t NewsSeq = 0;

  std::uint32_t Failures = 0;
  bool Ejected = false;
  TimePoint EjectedUntil{};
  std::uint32_t Ejections = 0;
  /// Requests sent to find out whether an ejected back end has recovered.
  std::uint32_t Probes = 0;

  /// A suspect runs here, or the back end is being emptied for one until the given time.
  bool SuspectRunning = false;
  TimePoint ReservedForSuspectUntil{};

  std::uint64_t CacheSeq = 0;
};

/// The back ends this node uses for one target.
struct Pool {
  /// Indices of back ends.
  std::vector<std::uint32_t> Members;
  /// Running sums of the sampling weights of Members.
  std::vector<double> WeightSums;
  std::uint32_t Ejected = 0;
  /// Back ends that serve the target, in use or not.
  std::uint32_t Serving = 0;
};

struct RunningRequest {
  std::uint32_t Backend = 0;
  std::uint64_t LengthKey = 0;
  double Announced = 0;
  double Limit = 0;
  double Tokens = 0;
  double Remaining = 0;
  double Prefill = 0;
  TimePoint Started{};
  TimePoint LastToken{};
  bool FirstByte = false;
  bool Probe = false;
  bool Hedged = false;
  /// Tokens charged to the hedge budget for this request, and its tokens at that moment.
  double HedgeCharge = 0;
  double HedgeStartTokens = 0;
  WorkRequest Work;
};

struct State {
  Options Config;
  std::vector<Backend> Backends;
  std::vector<BackendObservations> Observations;
  std::unordered_map<std::string, std::uint32_t> Index;
  /// Pools by target, for models and for services. A target stays known when its last back end
  /// ends.
  std::unordered_map<std::string, Pool> Models;
  std::unordered_map<std::string, Pool> Services;
  /// Entries of Backends that ended and may be reused.
  std::vector<std::uint32_t> Free;
  std::unordered_map<RequestId, RunningRequest> Requests;
  LengthTable Lengths;
  PrefixMap Prefixes;
  /// Running medians by machine class, in seconds, 0 until observed: time per token of a lone
  /// stream, and time of a service call.
  std::vector<double> NormalTokenTime;
  std::vector<double> NormalCallTime;
  std::map<std::string, std::uint32_t> Classes;
  /// Mean length of finished work, for the work of other nodes.
  double MeanTokens = 200;
  /// Tokens of all work and of hedges, both decayed.
  double RecentTokens = 0;
  double RecentHedgeTokens = 0;
  TimePoint LastDecay{};
  std::vector<std::uint32_t> UnsentNews;
};

} // namespace chervil::routing

#endif
