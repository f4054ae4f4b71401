#include "routing/FleetSimulation.h"

#include "routing/Routing.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <optional>

namespace chervil::routing {
namespace {

using testing::EngineEvent;
using testing::EngineModel;
using testing::EngineOutput;
using testing::EngineWork;
using namespace std::chrono_literals;

constexpr Duration StepTime = 1ms;
/// Start of the simulated clock, well after TimePoint{}, the initial value of the times in State.
const TimePoint SimulationStart(1000s);
/// Intervals of periodic work in steps: copying the caches to the nodes (Policy::KnownCaches),
/// retrying waiting requests, and the tick() of the nodes with status exchange and hedges.
constexpr std::int64_t CacheCopySteps = 20;
constexpr std::int64_t RetrySteps = 10;
constexpr std::int64_t NodeTickSteps = 100;

/// One run of a request on an engine; a hedge is a second run.
struct Run {
  std::size_t Request = 0;
  std::uint32_t Engine = 0;
  std::uint32_t Node = 0;
  bool Hedge = false;
  std::uint32_t Tokens = 0;
};

/// State of an arrived request.
struct RequestProgress {
  bool Done = false;
  /// The first token has arrived.
  bool First = false;
  std::uint32_t Tokens = 0;
  /// Prompt tokens that were cached.
  std::uint32_t Cached = 0;
  Duration FirstToken{0};
  /// Ids of the first run and of the hedge; 0 if there is none.
  std::uint64_t Main = 0;
  std::uint64_t Hedge = 0;
};

struct Simulation {
  const SimulationSetup &Setup;
  const std::vector<Arrival> &Arrivals;
  std::vector<EngineModel> Engines;
  std::vector<State> Nodes;
  /// Load of each engine in its last report.
  std::vector<std::uint32_t> Reported;
  /// Counter of each node for RoundRobin.
  std::vector<std::uint32_t> NextEngine;
  /// Arrivals by node for which no slot was free, oldest first.
  std::vector<std::deque<std::size_t>> WaitingRequests;

  /// By arrival.
  std::vector<RequestProgress> Requests;

  std::unordered_map<std::uint64_t, Run> Runs;
  std::uint64_t NextId = 1;
  /// Number of arrivals that have not finished.
  std::size_t OpenRequests = 0;
  SimulationResult Result;
  Random Rng;
};

Now nowAt(TimePoint t) {
  return {t, WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()))};
}

std::string nameOf(std::uint32_t engine) { return "e" + std::to_string(engine); }

std::vector<Backend> backends(const SimulationSetup &setup) {
  std::vector<Backend> list;
  for (std::uint32_t i = 0; i < setup.Engines; ++i) {
    Backend b;
    b.Name = nameOf(i);
    b.Targets = {"redactor"};
    b.Slots = setup.Spec.Slots;
    list.push_back(b);
  }
  return list;
}

/// Starts a run of an arrival on an engine. A hedge continues after the tokens generated so far.
void startRun(Simulation &s, std::size_t request, std::uint32_t engine, std::uint8_t priority,
              bool isHedge, TimePoint now) {
  const Arrival &a = s.Arrivals[request];
  const std::uint64_t id = s.NextId++;
  RequestProgress &p = s.Requests[request];
  (isHedge ? p.Hedge : p.Main) = id;
  s.Runs[id] = {request, engine, a.Node, isHedge, 0};
  EngineWork w;
  w.Id = id;
  w.Priority = priority;
  w.PrefixHashes = a.Work.PrefixHashes;
  w.PromptTokens = a.Work.PromptTokens;
  w.OutputTokens = a.OutputTokens;
  w.Generated = isHedge ? std::min(p.Tokens, a.OutputTokens - 1) : 0;
  submit(s.Engines[engine], w, now);
  if (s.Setup.Choice == Policy::Routing || s.Setup.Choice == Policy::KnownCaches)
    requestStarted(s.Nodes[a.Node], id, a.Work, nameOf(engine), nowAt(now));
}

std::uint32_t engineOf(const std::string &name) {
  return static_cast<std::uint32_t>(std::stoul(name.substr(1)));
}

/// Sends an arrival to an engine according to the policy. Returns false if it has to wait.
bool dispatch(Simulation &s, std::size_t request, TimePoint now) {
  const Arrival &a = s.Arrivals[request];
  const auto n = s.Setup.Engines;
  if (s.Setup.Choice == Policy::RoundRobin) {
    startRun(s, request, s.NextEngine[a.Node]++ % n, 0, false, now);
    return true;
  }
  if (s.Setup.Choice == Policy::LeastReported) {
    const auto least = *std::ranges::min_element(s.Reported);
    std::vector<std::uint32_t> best;
    for (std::uint32_t i = 0; i < n; ++i)
      if (s.Reported[i] == least)
        best.push_back(i);
    startRun(s, request, best[s.Rng() % best.size()], a.Work.Priority, false, now);
    return true;
  }
  const ChoiceResult c = choose(s.Nodes[a.Node], a.Work, nowAt(now), s.Rng);
  if (!c || c->Wait > Duration{0})
    return false;
  startRun(s, request, engineOf(c->Backend), c->EnginePriority, false, now);
  return true;
}

/// Returns true if the policy uses choose().
bool usesRouting(const Simulation &s) {
  return s.Setup.Choice == Policy::Routing || s.Setup.Choice == Policy::KnownCaches;
}

/// Ends a run, and cancels it on the engine unless it has finished. Unknown ids are ignored.
void endRun(Simulation &s, std::uint64_t id, bool finished, TimePoint now) {
  const auto it = s.Runs.find(id);
  if (it == s.Runs.end())
    return;
  if (usesRouting(s)) {
    State &node = s.Nodes[it->second.Node];
    if (finished)
      requestFinished(node, id, nowAt(now));
    else
      requestFailed(node, id, Failure::Cancelled, nowAt(now));
  }
  if (!finished)
    cancel(s.Engines[it->second.Engine], id);
  s.Runs.erase(it);
}

/// Handles a token or the end of a run.
void handleEngineEvent(Simulation &s, const EngineEvent &event) {
  const auto it = s.Runs.find(event.Id);
  if (it == s.Runs.end())
    return;
  const Run run = it->second;
  RequestProgress &p = s.Requests[run.Request];
  const Arrival &a = s.Arrivals[run.Request];
  if (event.What == EngineEvent::Kind::Finished) {
    const std::uint64_t other = run.Hedge ? p.Main : p.Hedge;
    endRun(s, event.Id, true, event.At);
    endRun(s, other, false, event.At);
    if (!p.Done) {
      p.Done = true;
      --s.OpenRequests;
      s.Result.Requests.push_back(
          {&a, p.FirstToken, event.At - SimulationStart - a.At, p.Cached, run.Engine});
    }
    return;
  }
  ++it->second.Tokens;
  if (usesRouting(s))
    requestTokens(s.Nodes[run.Node], event.Id, 1, nowAt(event.At));
  if (!p.First) {
    p.First = true;
    p.FirstToken = event.At - SimulationStart - a.At;
    p.Cached = event.CachedTokens;
  }
  p.Tokens = std::max(p.Tokens, it->second.Tokens);
  // With the first token of the hedge the first run is cancelled.
  if (run.Hedge && p.Main != 0) {
    if (const auto main = s.Runs.find(p.Main); main != s.Runs.end())
      endRun(s, p.Main, false, event.At);
    p.Main = 0;
  }
}

/// Passes the output of an engine on to the requests and to all nodes.
void applyEngineOutput(Simulation &s, std::uint32_t engine, const EngineOutput &out,
                       TimePoint now) {
  for (const EngineEvent &event : out.Events)
    handleEngineEvent(s, event);
  for (const auto &report : out.Reports) {
    s.Reported[engine] = report.Running + report.Queued;
    for (State &node : s.Nodes)
      applyLoadReport(node, {nameOf(engine), now - report.Taken, report.Running, report.Queued},
                      nowAt(now));
  }
  for (const auto &event : out.CacheEvents)
    for (State &node : s.Nodes)
      if (!applyCacheEvent(node, {nameOf(engine), event.Seq, false, event.Added, event.Removed},
                           nowAt(now))) {
        // A snapshot would normally arrive late, without the latest requests. Here it is delivered
        // at once.
        const auto snapshot = cacheSnapshot(s.Engines[engine]);
        State &state = node;
        applyCacheEvent(state, {nameOf(engine), event.Seq + 1, true, snapshot.Added, {}},
                        nowAt(now));
        state.Observations[state.Index.at(nameOf(engine))].CacheSeq = snapshot.Seq;
      }
}

/// Delivers the unsent back end statuses of each node to all others.
void exchangeStatuses(Simulation &s, TimePoint now) {
  for (std::size_t from = 0; from < s.Nodes.size(); ++from)
    for (const auto &status : takeUnsentStatuses(s.Nodes[from], nowAt(now)))
      for (std::size_t to = 0; to < s.Nodes.size(); ++to)
        if (to != from)
          applyBackendStatus(s.Nodes[to], status, nowAt(now));
}

/// Starts the hedges that the nodes propose, in the order of the run ids to be deterministic.
void startHedges(Simulation &s, TimePoint now) {
  std::vector<std::uint64_t> ids;
  for (const auto &[id, run] : s.Runs)
    if (!run.Hedge && s.Requests[run.Request].Hedge == 0)
      ids.push_back(id);
  std::ranges::sort(ids);
  for (const std::uint64_t id : ids) {
    const Run run = s.Runs.at(id);
    const auto c = hedge(s.Nodes[run.Node], id, nowAt(now), s.Rng);
    if (!c)
      continue;
    ++s.Result.Hedges;
    s.Result.HedgesOfNonRepeatable += s.Arrivals[run.Request].Work.Repeatable ? 0 : 1;
    startRun(s, run.Request, engineOf(c->Backend), c->EnginePriority, true, now);
  }
}

/// Sets the slow factor of each engine from the configured slowdowns.
void applySlowdowns(Simulation &s, TimePoint now) {
  for (EngineModel &e : s.Engines)
    e.SlowFactor = 1;
  for (const Slowdown &it : s.Setup.Slowdowns)
    if (now - SimulationStart >= it.From && now - SimulationStart < it.Until)
      s.Engines[it.Engine].SlowFactor = it.Factor;
}

/// Replaces the prefix map of each node by the actual content of the caches.
void copyCacheContents(Simulation &s) {
  for (State &node : s.Nodes)
    for (std::uint32_t i = 0; i < s.Setup.Engines; ++i) {
      const std::uint32_t at = node.Index.at(nameOf(i));
      removeBackend(node.Prefixes, at);
      for (const std::uint64_t hash : s.Engines[i].Recent)
        addBlock(node.Prefixes, hash, at);
    }
}

} // namespace

SimulationResult simulate(const SimulationSetup &setup, const std::vector<Arrival> &arrivals,
                          Duration limit) {
  Simulation s{setup, arrivals,          {}, {}, {}, {}, {}, {}, {}, 1, arrivals.size(),
               {},    Random(setup.Seed)};
  s.Engines.assign(setup.Engines, makeEngine(setup.Spec, SimulationStart));
  for (std::uint32_t i = 0; i < setup.Nodes; ++i) {
    Options o = setup.Options;
    o.Node = "n" + std::to_string(i);
    s.Nodes.push_back(makeState(o));
    updateBackends(s.Nodes.back(), backends(setup), nowAt(SimulationStart));
  }
  s.Reported.assign(setup.Engines, 0);
  s.NextEngine.assign(setup.Nodes, 0);
  s.WaitingRequests.resize(setup.Nodes);
  s.Requests.resize(arrivals.size());
  std::size_t next = 0;
  TimePoint now = SimulationStart;
  EngineOutput out;
  for (std::int64_t stepCount = 0; s.OpenRequests > 0 && now - SimulationStart < limit;
       ++stepCount, now += StepTime) {
    applySlowdowns(s, now);
    for (std::uint32_t i = 0; i < setup.Engines; ++i) {
      out.Events.clear();
      out.Reports.clear();
      out.CacheEvents.clear();
      advance(s.Engines[i], now, s.Rng, out);
      applyEngineOutput(s, i, out, now);
    }
    // Only a simulation can know the content of all caches.
    if (setup.Choice == Policy::KnownCaches && stepCount % CacheCopySteps == 0)
      copyCacheContents(s);
    for (; next < arrivals.size() && arrivals[next].At <= now - SimulationStart; ++next)
      if (!dispatch(s, next, now))
        s.WaitingRequests[arrivals[next].Node].push_back(next);
    if (stepCount % RetrySteps == 0)
      for (auto &waiting : s.WaitingRequests)
        while (!waiting.empty() && dispatch(s, waiting.front(), now))
          waiting.pop_front();
    if (stepCount % NodeTickSteps == 0 && usesRouting(s)) {
      for (State &node : s.Nodes)
        tick(node, nowAt(now));
      exchangeStatuses(s, now);
      if (setup.Hedging)
        startHedges(s, now);
    }
  }
  for (const Arrival &a : arrivals) {
    s.Result.Tokens += a.OutputTokens;
    s.Result.PromptTokens += a.Work.PromptTokens;
  }
  for (const EngineModel &e : s.Engines) {
    s.Result.EngineTokens += e.TokensGenerated;
    s.Result.EnginePromptTokens += e.PromptTokensRead;
  }
  s.Result.Seconds = std::chrono::duration<double>(now - SimulationStart).count();
  return s.Result;
}

double quantile(std::vector<double> values, double q) {
  if (values.empty())
    return 0;
  std::ranges::sort(values);
  const auto at = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
  return values[std::min(values.size() - 1, at > 0 ? at - 1 : 0)];
}

} // namespace chervil::routing
