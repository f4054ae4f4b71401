#include "routing/Routing.h"

#include "base/Hash.h"
#include "routing/SuspectPlace.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chervil::routing {
namespace {

/// Weight of one observation in the slow factor. A change shows after about 10 tokens, while one
/// late packet has little effect.
constexpr double SampleWeight = 0.15;
/// Factor by which an observation moves a running median: 70 observations correct an error of a
/// factor of 2.
constexpr double MedianStep = 1.01;
/// A slow factor from another node is ignored if this node has an observation not older than this.
constexpr Duration OwnObservationLifetime = std::chrono::seconds(2);
/// Time constant of the exponential decay of a slow factor towards 1 without new observations.
constexpr double SlowFactorDecaySeconds = 30;
/// Maximum number of starts and ends kept per back end to correct the next load report.
constexpr std::size_t MaxRunningChanges = 512;
/// The token counts of the hedge budget are halved at this interval.
constexpr Duration HedgeBudgetHalfLife = std::chrono::seconds(60);
/// Maximum number of random draws before the pool is searched in order.
constexpr int MaxRandomDraws = 8;
/// Maximum number of holders of the longest cached prefix that are evaluated.
constexpr std::size_t MaxPrefixHolders = 3;
/// Bounds on a slow factor received from another node; the upper one also holds for an observed
/// ratio.
constexpr double MinSlowFactor = 0.05;
constexpr double MaxSlowFactor = 20;
/// Weight of one finished request in MeanTokens.
constexpr double MeanTokensWeight = 0.01;
/// Weight of the used share of the slots in the time of a service call. Small, it only spreads
/// calls while all back ends have free slots.
constexpr double SlotUseWeight = 0.1;
/// Share of the prompt that counts as cached on the preferred back end of its prefix, because later
/// requests with the prefix benefit from the work that this one causes.
constexpr double PreferredPrefixCredit = 0.5;
/// Added to the engine priority of long work, so that it runs after all work that is not long,
/// whatever its stated priority.
constexpr int LongWorkPriorityOffset = 16;

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration fromSeconds(double s) {
  return Duration(static_cast<Duration::rep>(std::min(s, 1e9) * 1e6));
}

std::unordered_map<std::string, Pool> &poolsOf(State &state, message::WorkKind kind) {
  return kind == message::WorkKind::Model ? state.Models : state.Services;
}
const Pool *findPool(const State &state, message::WorkKind kind, const std::string &target) {
  const auto &pools = kind == message::WorkKind::Model ? state.Models : state.Services;
  const auto it = pools.find(target);
  return it == pools.end() ? nullptr : &it->second;
}

std::optional<std::uint32_t> indexOf(const State &state, std::string_view name) {
  const auto it = state.Index.find(std::string(name));
  if (it == state.Index.end())
    return std::nullopt;
  return it->second;
}

/// Key of the work in the length table.
std::uint64_t lengthKey(const WorkRequest &work) {
  return hashBytes(work.Target, hashPair(work.Customer, work.Kind));
}

/// Returns the index of a machine class; adds it if it is new.
std::uint32_t classIndex(State &state, const std::string &name) {
  const auto [it, added] =
      state.Classes.try_emplace(name, static_cast<std::uint32_t>(state.Classes.size()));
  if (added) {
    state.NormalTokenTime.push_back(0);
    state.NormalCallTime.push_back(0);
  }
  return it->second;
}

/// Requests of other nodes on the back end; 0 if the last load report is too old.
std::uint32_t othersRunning(const State &state, const BackendObservations &o, const Now &now) {
  return now.Steady - o.ReportTaken > state.Config.ReportMaxAge ? 0 : o.OthersRunning;
}

/// Requests of all nodes on back end `i`.
std::uint32_t load(const State &state, std::uint32_t i, const Now &now) {
  return state.Observations[i].OwnRunning + othersRunning(state, state.Observations[i], now);
}

/// Current slow factor. A back end whose ejection time is over counts as normal, since it could not
/// be chosen for a probe otherwise.
double slowFactor(const BackendObservations &o, const Now &now) {
  if (o.Ejected)
    return now.Steady >= o.EjectedUntil ? 1 : o.SlowFactor;
  const double age = seconds(now.Steady - o.SlowFactorTime);
  return age < 1 ? o.SlowFactor : 1 + (o.SlowFactor - 1) * std::exp(-age / SlowFactorDecaySeconds);
}

/// Normal seconds per token of a single stream on a machine class.
double loneTokenTime(const State &state, std::uint32_t cls) {
  return state.NormalTokenTime[cls] > 0 ? state.NormalTokenTime[cls]
                                        : seconds(state.Config.TokenTime);
}

/// Normal seconds per token on back end `i` with `batch` streams.
double tokenTime(const State &state, std::uint32_t i, double batch) {
  return loneTokenTime(state, state.Observations[i].MachineClass) *
         (1 + state.Config.BatchGrowth * batch);
}

/// Slots of a back end, reduced while it warms up.
double slotsOf(const Backend &b) { return std::max(1.0, b.Slots * b.WarmUp); }

/// Expected completion time of the work on back end `i`, in seconds, increased by the weighted
/// price.
double expectedTime(const State &state, std::uint32_t i, const WorkRequest &work, double tokens,
                    double cachedTokens, const Now &now) {
  const Backend &b = state.Backends[i];
  const BackendObservations &o = state.Observations[i];
  const double slow = slowFactor(o, now);
  const double running = load(state, i, now);
  const double slots = slotsOf(b);
  double total = 0;
  if (b.Kind == message::WorkKind::Service) {
    const double call = state.NormalCallTime[o.MachineClass] > 0
                            ? state.NormalCallTime[o.MachineClass]
                            : seconds(state.Config.TokenTime);
    total = call * slow * (std::max(1.0, (running + 1) / slots) + SlotUseWeight * running / slots);
  } else {
    const double perToken = tokenTime(state, i, std::min(running + 1, slots)) * slow;
    const double left = o.OwnRunning > 0 ? o.OwnRemaining / o.OwnRunning : state.MeanTokens;
    const double waiting = std::max(0.0, running + 1 - slots) / slots * left * perToken;
    const double prompt = std::max(0.0, work.PromptTokens - cachedTokens);
    total = waiting + (o.OwnPrefill + prompt) / state.Config.PrefillRate * slow + tokens * perToken;
  }
  return total * (1 + state.Config.PriceWeight * b.Price);
}

/// Returns true if the work counts as long, so that slots are reserved against it.
bool isLong(const State &state, const WorkRequest &work, double tokens) {
  return work.TargetKind == message::WorkKind::Model && tokens >= state.Config.LongTokens;
}

/// Returns why back end `i` cannot take the work, regardless of free slots.
Rejection rejectionReason(const State &state, std::uint32_t i, const WorkRequest &work,
                          bool useEjected, const Now &now) {
  const Backend &b = state.Backends[i];
  const BackendObservations &o = state.Observations[i];
  if (b.State != BackendState::Live)
    return b.State == BackendState::Leaving ? Rejection::Leaving : Rejection::Dead;
  if (std::ranges::find(work.Avoid, b.Name) != work.Avoid.end())
    return Rejection::Avoided;
  if (o.SuspectRunning || (!work.Suspect && now.Steady < o.ReservedForSuspectUntil))
    return Rejection::Isolated;
  if (o.Ejected && !useEjected) {
    const bool probe = now.Steady >= o.EjectedUntil && o.Probes == 0 && work.Repeatable;
    if (!probe)
      return Rejection::Ejected;
  }
  return Rejection::None;
}

/// Returns whether the work may take one more slot of back end `i`. Only long work is limited.
bool hasSlot(const State &state, std::uint32_t i, bool longWork, const Now &now) {
  if (!longWork)
    return true;
  const double slots = slotsOf(state.Backends[i]);
  const double reserved = std::ceil(slots * state.Config.ReservedShare);
  return load(state, i, now) + 1 <= std::max(1.0, slots - reserved);
}

/// The back end that a search has found; Index is None if it found none.
struct Decision {
  static constexpr std::uint32_t None = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t Index = None;
  double Expected = std::numeric_limits<double>::infinity();
  /// Prompt tokens believed to be cached there.
  std::uint32_t Cached = 0;
  Duration Wait{0};
};

/// State of one search for a back end. Evaluated back ends are appended to Candidates if it is set.
struct Search {
  const State &Fleet;
  const WorkRequest &Work;
  const Now &Time;
  double Tokens;
  bool IsLong;
  bool UseEjected = false;
  std::vector<Candidate> *Candidates = nullptr;
  Decision Best;
  /// Best back end among those that lack only a free slot.
  Decision BestWithoutSlot;
};

/// Compares back end `i` with the best one so far. At least the share `credit` of the prompt counts
/// as cached, even if it is not cached yet. Returns false if the back end cannot be used.
bool evaluateCandidate(Search &s, std::uint32_t i, double credit) {
  Rejection reason = rejectionReason(s.Fleet, i, s.Work, s.UseEjected, s.Time);
  const auto cached = static_cast<std::uint32_t>(std::min<std::size_t>(
      s.Work.PromptTokens,
      cachedDepth(s.Fleet.Prefixes, s.Work.PrefixHashes, i) * s.Fleet.Config.BlockTokens));
  const double counted = std::max<double>(cached, credit * s.Work.PromptTokens);
  const double expected = expectedTime(s.Fleet, i, s.Work, s.Tokens, counted, s.Time);
  const bool slot = hasSlot(s.Fleet, i, s.IsLong, s.Time);
  if (reason == Rejection::None && !slot)
    reason = Rejection::ReservedSlots;
  if (s.Candidates != nullptr)
    s.Candidates->push_back({s.Fleet.Backends[i].Name, fromSeconds(expected), cached,
                             slowFactor(s.Fleet.Observations[i], s.Time), load(s.Fleet, i, s.Time),
                             reason});
  Decision &best = reason == Rejection::ReservedSlots ? s.BestWithoutSlot : s.Best;
  if ((reason == Rejection::None || reason == Rejection::ReservedSlots) && expected < best.Expected)
    best = {i, expected, cached, Duration{0}};
  return reason == Rejection::None;
}

/// Evaluates two random back ends, drawn with the weights of their zones.
void evaluateRandomPair(Search &s, const Pool &pool, Random &rng) {
  std::uniform_real_distribution<double> pick(0, pool.WeightSums.back());
  std::uniform_real_distribution<double> unit(0, 1);
  std::uint32_t first = Decision::None;
  int found = 0;
  for (int draw = 0; draw < MaxRandomDraws && found < 2; ++draw) {
    const auto at = std::ranges::upper_bound(pool.WeightSums, pick(rng)) - pool.WeightSums.begin();
    const std::uint32_t i =
        pool.Members[std::min<std::size_t>(static_cast<std::size_t>(at), pool.Members.size() - 1)];
    if (i == first)
      continue;
    const double warm = s.Fleet.Backends[i].WarmUp;
    if (warm < 1 && unit(rng) >= warm)
      continue;
    if (evaluateCandidate(s, i, 0)) {
      first = i;
      ++found;
    }
  }
}

/// Evaluates back ends that hold the prefix, and the preferred back end of the prefix: the one with
/// the highest rendezvous hash among those whose load is within the bound.
void evaluatePrefixHolders(Search &s, const Pool &pool) {
  if (s.Work.PrefixHashes.empty())
    return;
  double sum = 0;
  for (const std::uint32_t i : pool.Members)
    sum += load(s.Fleet, i, s.Time);
  const double bound =
      s.Fleet.Config.PrefixLoadBound * (sum + 1) / static_cast<double>(pool.Members.size());
  std::size_t compared = 0;
  for (const std::uint32_t i : deepestHolders(s.Fleet.Prefixes, s.Work.PrefixHashes)) {
    if (compared == MaxPrefixHolders)
      break;
    if (s.Fleet.Observations[i].InUse && load(s.Fleet, i, s.Time) <= bound + 1) {
      evaluateCandidate(s, i, 0);
      ++compared;
    }
  }
  std::uint32_t preferred = Decision::None;
  std::uint64_t top = 0;
  for (const std::uint32_t i : pool.Members) {
    const std::uint64_t rank =
        mixHashes(s.Work.PrefixHashes.front(), s.Fleet.Observations[i].NameHash);
    if ((preferred == Decision::None || rank > top) && load(s.Fleet, i, s.Time) <= bound &&
        rejectionReason(s.Fleet, i, s.Work, s.UseEjected, s.Time) == Rejection::None) {
      preferred = i;
      top = rank;
    }
  }
  if (preferred != Decision::None)
    evaluateCandidate(s, preferred, PreferredPrefixCredit);
}

/// Evaluates the back end that is assigned to the suspect. Until its turn has come and the back end
/// is empty, for at most SuspectMaxWait, the result states a wait.
void evaluateForSuspect(Search &s, const Pool &pool) {
  const Suspicion &suspicion = *s.Work.Suspect;
  std::vector<std::uint32_t> usable;
  std::vector<std::uint64_t> names;
  for (const std::uint32_t i : pool.Members) {
    // A back end that runs a suspect of this node stays in the list, so that the assignment is
    // stable.
    const Rejection reason = rejectionReason(s.Fleet, i, s.Work, s.UseEjected, s.Time);
    if (reason != Rejection::None && reason != Rejection::Isolated)
      continue;
    usable.push_back(i);
    names.push_back(s.Fleet.Observations[i].NameHash);
  }
  if (usable.empty())
    return;
  const SuspectPlace place = placeOfSuspect(suspicion, names);
  const std::uint32_t i = usable[place.Backend];
  const BackendObservations &o = s.Fleet.Observations[i];
  const std::uint32_t running = load(s.Fleet, i, s.Time);
  const TimePoint start = startOfSuspect(suspicion, place);
  const bool inTime = s.Time.Steady >= start && !o.SuspectRunning;
  const bool empty = running == 0 || s.Time.Steady >= start + SuspectMaxWait;
  s.Best = {i, expectedTime(s.Fleet, i, s.Work, s.Tokens, 0, s.Time), 0,
            inTime && empty ? Duration{0} : s.Fleet.Config.NoSlotRetryDelay};
  if (s.Candidates != nullptr)
    s.Candidates->push_back({s.Fleet.Backends[i].Name, fromSeconds(s.Best.Expected), 0,
                             slowFactor(o, s.Time), running, Rejection::None});
}

/// Searches for a back end. Ejected back ends are used only if no other can be. Appends the
/// evaluated back ends to `candidates` unless it is null.
tl::expected<Decision, ResultCode> findBackend(const State &state, const WorkRequest &work,
                                               double tokens, const Now &now, Random &rng,
                                               std::vector<Candidate> *candidates) {
  const Pool *pool = findPool(state, work.TargetKind, work.Target);
  if (pool == nullptr)
    return tl::make_unexpected(work.TargetKind == message::WorkKind::Model
                                   ? ResultCode::UnknownModel
                                   : ResultCode::UnknownService);
  if (pool->Members.empty())
    return tl::make_unexpected(ResultCode::NoBackend);
  Search s{state, work, now, tokens, isLong(state, work, tokens), false, candidates, {}, {}};
  for (const bool useEjected : {false, true}) {
    s.UseEjected = useEjected;
    if (work.Suspect) {
      evaluateForSuspect(s, *pool);
    } else {
      evaluatePrefixHolders(s, *pool);
      evaluateRandomPair(s, *pool, rng);
      // All draws may have hit leaving, full or avoided back ends.
      if (s.Best.Index == Decision::None)
        for (const std::uint32_t i : pool->Members)
          evaluateCandidate(s, i, 0);
    }
    if (s.Best.Index != Decision::None)
      return s.Best;
    if (s.BestWithoutSlot.Index != Decision::None) {
      s.BestWithoutSlot.Wait = state.Config.NoSlotRetryDelay;
      return s.BestWithoutSlot;
    }
  }
  return tl::make_unexpected(ResultCode::NoBackend);
}

Choice makeChoice(const State &state, const Decision &d, const WorkRequest &work, double tokens) {
  const Backend &b = state.Backends[d.Index];
  Choice c;
  c.Backend = b.Name;
  c.Address = b.Address;
  c.Expected = fromSeconds(d.Expected);
  c.ExpectedTokens = tokens;
  c.PrefixTokens = d.Cached;
  c.EnginePriority = static_cast<std::uint8_t>(
      work.Priority + (isLong(state, work, tokens) ? LongWorkPriorityOffset : 0));
  c.Wait = d.Wait;
  return c;
}

/// Calls `f` for each pool whose target back end `i` serves.
template <typename F> void forEachPool(State &state, std::uint32_t i, F f) {
  const Backend &b = state.Backends[i];
  auto &pools = poolsOf(state, b.Kind);
  for (const std::string &target : b.Targets)
    if (const auto it = pools.find(target); it != pools.end())
      f(it->second);
}

void endEjection(State &state, std::uint32_t i) {
  BackendObservations &o = state.Observations[i];
  if (!o.Ejected)
    return;
  o.Ejected = false;
  o.Probes = 0;
  if (o.InUse)
    forEachPool(state, i, [](Pool &p) { p.Ejected -= p.Ejected > 0 ? 1 : 0; });
}

/// Duration of an ejection after `ejections` earlier ones, with exponential backoff.
Duration ejectionTime(const State &state, std::uint32_t ejections) {
  return std::min(state.Config.MaxEjectTime,
                  state.Config.MinEjectTime * (std::int64_t{1} << std::min(ejections, 10U)));
}

/// Ejects the back end unless that would exceed MaxEjectedShare in one of its pools.
void eject(State &state, std::uint32_t i, const Now &now) {
  BackendObservations &o = state.Observations[i];
  if (o.Ejected || !o.InUse)
    return;
  bool allowed = true;
  forEachPool(state, i, [&](const Pool &p) {
    allowed =
        allowed && p.Ejected + 1 <=
                       static_cast<double>(p.Members.size()) * state.Config.MaxEjectedShare + 1e-9;
  });
  if (!allowed)
    return;
  // The backoff restarts after a long time without ejections.
  if (now.Steady - o.EjectedUntil > state.Config.MaxEjectTime)
    o.Ejections = 0;
  o.Ejected = true;
  o.Probes = 0;
  o.EjectedUntil = now.Steady + ejectionTime(state, o.Ejections++);
  forEachPool(state, i, [](Pool &p) { ++p.Ejected; });
}

/// Queues the status of back end `i` for the other nodes if its slow factor has changed by
/// StatusChangeRatio.
void queueStatus(State &state, std::uint32_t i) {
  BackendObservations &o = state.Observations[i];
  const double ratio = o.SlowFactor / o.LastSharedSlowFactor;
  if (ratio < state.Config.StatusChangeRatio && ratio > 1 / state.Config.StatusChangeRatio)
    return;
  o.LastSharedSlowFactor = o.SlowFactor;
  if (std::ranges::find(state.UnsentStatuses, i) == state.UnsentStatuses.end())
    state.UnsentStatuses.push_back(i);
}

/// Ejects a slow back end, or ends the ejection of one that has recovered.
void updateEjection(State &state, std::uint32_t i, const Now &now) {
  BackendObservations &o = state.Observations[i];
  if (o.SlowFactor >= state.Config.EjectFactor)
    eject(state, i, now);
  else if (o.Ejected && o.Failures == 0 && o.SlowFactor <= state.Config.ReturnFactor)
    endEjection(state, i);
}

/// Adds an observation to the slow factor; `ratio` is observed time over normal time.
void recordSlowFactor(State &state, std::uint32_t i, double ratio, const Now &now) {
  BackendObservations &o = state.Observations[i];
  o.SlowFactor += SampleWeight * (std::min(ratio, MaxSlowFactor) - o.SlowFactor);
  o.SlowFactorTime = now.Steady;
  queueStatus(state, i);
  updateEjection(state, i, now);
}

/// Moves the running median by one step towards `value`.
void updateMedian(double &median, double value) {
  if (median <= 0)
    median = value;
  else
    median *= value > median ? MedianStep : 1 / MedianStep;
}

/// Records the start (+1) or end (-1) of an own request; drops the oldest half when full.
void recordRunningChange(BackendObservations &o, TimePoint at, std::int8_t change) {
  if (o.RunningChanges.size() >= MaxRunningChanges)
    o.RunningChanges.erase(o.RunningChanges.begin(),
                           o.RunningChanges.begin() + MaxRunningChanges / 2);
  o.RunningChanges.emplace_back(at, change);
}

/// Sets the expected remaining tokens of a request, and corrects the sum of its back end.
void setRemaining(State &state, RunningRequest &r, double remaining) {
  BackendObservations &o = state.Observations[r.Backend];
  o.OwnRemaining = std::max(0.0, o.OwnRemaining + remaining - r.Remaining);
  r.Remaining = remaining;
}

/// The prompt of the request has been read.
void clearPrefill(State &state, RunningRequest &r) {
  BackendObservations &o = state.Observations[r.Backend];
  o.OwnPrefill = std::max(0.0, o.OwnPrefill - r.Prefill);
  r.Prefill = 0;
}

/// Removes a request and its share in the figures of its back end. If it was a probe and the back
/// end is still ejected, the ejection is extended.
void removeRequest(State &state, std::unordered_map<RequestId, RunningRequest>::iterator it,
                   const Now &now) {
  RunningRequest &r = it->second;
  BackendObservations &o = state.Observations[r.Backend];
  setRemaining(state, r, 0);
  clearPrefill(state, r);
  o.OwnRunning -= o.OwnRunning > 0 ? 1 : 0;
  recordRunningChange(o, now.Steady, -1);
  if (r.Work.Suspect)
    o.SuspectRunning = false;
  if (r.Probe && o.Probes > 0) {
    --o.Probes;
    if (o.Ejected)
      o.EjectedUntil = now.Steady + ejectionTime(state, o.Ejections++);
  }
  state.Requests.erase(it);
}

/// Counts a failure, and ejects the back end after EjectFailures successive ones.
void countFailure(State &state, std::uint32_t i, const Now &now) {
  BackendObservations &o = state.Observations[i];
  if (++o.Failures >= state.Config.EjectFailures)
    eject(state, i, now);
}

void markDead(State &state, std::uint32_t i) {
  endEjection(state, i);
  removeBackend(state.Prefixes, i);
  Backend &b = state.Backends[i];
  b.State = BackendState::Dead;
  state.Index.erase(b.Name);
}

/// Discards the observations of an earlier back end with the same index.
void resetObservations(State &state, std::uint32_t i) {
  const Backend &b = state.Backends[i];
  BackendObservations o;
  o.NameHash = hashBytes(b.Name);
  o.MachineClass = classIndex(state, b.MachineClass);
  state.Observations[i] = std::move(o);
}

/// Sampling weight of a back end by its distance from this node.
double zoneWeight(const Options &o, const Backend &b) {
  if (b.DataCentre != o.DataCentre)
    return o.OtherDataCentreWeight;
  return b.Zone == o.Zone ? 1.0 : o.OtherZoneWeight;
}

/// Rebuilds the pools of one kind, each limited to the subset of this node by rendezvous hash.
void rebuildPools(State &state, message::WorkKind kind) {
  auto &pools = poolsOf(state, kind);
  for (auto &[target, pool] : pools)
    pool = Pool{};
  for (std::uint32_t i = 0; i < state.Backends.size(); ++i)
    if (state.Backends[i].Kind == kind && state.Backends[i].State == BackendState::Live)
      for (const std::string &target : state.Backends[i].Targets)
        pools[target].Members.push_back(i);
  const std::uint64_t self = hashBytes(state.Config.Node);
  for (auto &[target, pool] : pools) {
    pool.Serving = static_cast<std::uint32_t>(pool.Members.size());
    if (pool.Members.size() > state.Config.SubsetSize) {
      const auto cut = pool.Members.begin() + state.Config.SubsetSize;
      std::ranges::nth_element(pool.Members, cut, std::greater{}, [&](std::uint32_t i) {
        return mixHashes(self, state.Observations[i].NameHash);
      });
      pool.Members.erase(cut, pool.Members.end());
      std::ranges::sort(pool.Members);
    }
    double sum = 0;
    for (const std::uint32_t i : pool.Members) {
      state.Observations[i].InUse = true;
      sum += zoneWeight(state.Config, state.Backends[i]);
      pool.WeightSums.push_back(sum);
      pool.Ejected += state.Observations[i].Ejected ? 1 : 0;
    }
  }
}

/// Returns true if the attributes that the pools and weights depend on are equal.
bool sameRoutingAttributes(const Backend &a, const Backend &b) {
  return a.Kind == b.Kind && a.Targets == b.Targets && a.Zone == b.Zone &&
         a.DataCentre == b.DataCentre && a.MachineClass == b.MachineClass;
}

} // namespace

State makeState(Options options) {
  State state;
  state.Prefixes.Capacity = options.PrefixEntries;
  state.MeanTokens = options.DefaultTokens;
  state.Config = std::move(options);
  return state;
}

void updateBackends(State &state, std::span<const Backend> list, const Now &) {
  std::vector<bool> listed(state.Backends.size(), false);
  bool changed = false;
  std::vector<const Backend *> fresh;
  for (const Backend &b : list) {
    const auto i = indexOf(state, b.Name);
    if (b.State == BackendState::Dead)
      continue;
    if (!i) {
      fresh.push_back(&b);
      continue;
    }
    listed[*i] = true;
    Backend &old = state.Backends[*i];
    const BackendState before = old.State;
    const TimePoint deadline = old.Deadline;
    changed = changed || !sameRoutingAttributes(old, b) || before != b.State;
    const bool otherClass = old.MachineClass != b.MachineClass;
    old = b;
    if (before == BackendState::Leaving) {
      old.Deadline = b.State == BackendState::Leaving ? std::min(deadline, b.Deadline) : deadline;
      old.State = BackendState::Leaving;
    }
    if (otherClass)
      state.Observations[*i].MachineClass = classIndex(state, b.MachineClass);
  }
  for (std::uint32_t i = 0; i < listed.size(); ++i)
    if (!listed[i] && state.Backends[i].State != BackendState::Dead) {
      markDead(state, i);
      state.Free.push_back(i);
      changed = true;
    }
  for (const Backend *b : fresh) {
    // An index is reused only when its former back end has no running request left.
    const auto free = std::ranges::find_if(
        state.Free, [&](std::uint32_t i) { return state.Observations[i].OwnRunning == 0; });
    std::uint32_t i = 0;
    if (free != state.Free.end()) {
      i = *free;
      state.Free.erase(free);
    } else {
      i = static_cast<std::uint32_t>(state.Backends.size());
      state.Backends.emplace_back();
      state.Observations.emplace_back();
    }
    state.Backends[i] = *b;
    state.Index[b->Name] = i;
    resetObservations(state, i);
    changed = true;
  }
  if (!changed)
    return;
  for (BackendObservations &o : state.Observations)
    o.InUse = false;
  rebuildPools(state, message::WorkKind::Model);
  rebuildPools(state, message::WorkKind::Service);
}

void backendLeaving(State &state, std::string_view backend, TimePoint deadline, const Now &) {
  const auto i = indexOf(state, backend);
  if (!i)
    return;
  Backend &b = state.Backends[*i];
  b.Deadline = b.State == BackendState::Leaving ? std::min(b.Deadline, deadline) : deadline;
  b.State = BackendState::Leaving;
}

void applyLoadReport(State &state, const LoadReport &report, const Now &now) {
  const auto i = indexOf(state, report.Backend);
  if (!i)
    return;
  BackendObservations &o = state.Observations[*i];
  const TimePoint taken = now.Steady - report.Age;
  if (taken < o.ReportTaken)
    return;
  // Requests of this node that ran when the report was taken; the others belong to other nodes.
  std::int64_t own = o.OwnRunning;
  for (const auto &[at, change] : o.RunningChanges)
    if (at > taken)
      own -= change;
  std::erase_if(o.RunningChanges, [&](const auto &it) { return it.first <= taken; });
  const std::int64_t total = std::int64_t{report.Running} + report.Queued;
  o.OthersRunning =
      static_cast<std::uint32_t>(std::max<std::int64_t>(0, total - std::max<std::int64_t>(own, 0)));
  o.ReportTaken = taken;
}

bool applyCacheEvent(State &state, const CacheEvent &event, const Now &) {
  const auto i = indexOf(state, event.Backend);
  if (!i || !state.Observations[*i].InUse)
    return true;
  BackendObservations &o = state.Observations[*i];
  if (event.Seq <= o.CacheSeq)
    return true;
  const bool gap = !event.Snapshot && o.CacheSeq != 0 && event.Seq != o.CacheSeq + 1;
  o.CacheSeq = event.Seq;
  if (event.Snapshot || gap)
    removeBackend(state.Prefixes, *i);
  for (const std::uint64_t hash : event.Removed)
    removeBlock(state.Prefixes, hash, *i);
  for (const std::uint64_t hash : event.Added)
    addBlock(state.Prefixes, hash, *i);
  return !gap;
}

void applyBackendStatus(State &state, const message::BackendStatus &status, const Now &now) {
  const auto i = indexOf(state, status.Backend);
  if (!i)
    return;
  // A status carries no deadline; that follows with the reclaim notice or the VM list.
  if (status.Leaving)
    backendLeaving(state, status.Backend, TimePoint::max(), now);
  BackendObservations &o = state.Observations[*i];
  if (status.Seq <= o.StatusSeq)
    return;
  o.StatusSeq = status.Seq;
  if (o.OwnRunning > 0 && now.Steady - o.SlowFactorTime < OwnObservationLifetime)
    return;
  o.SlowFactor = std::clamp(status.SlowFactor, MinSlowFactor, MaxSlowFactor);
  o.LastSharedSlowFactor = o.SlowFactor;
  o.SlowFactorTime = now.Steady;
  if (o.Ejected && o.SlowFactor >= state.Config.EjectFactor)
    o.EjectedUntil = std::max(o.EjectedUntil, now.Steady + state.Config.MinEjectTime);
  updateEjection(state, *i, now);
}

std::vector<message::BackendStatus> takeUnsentStatuses(State &state, const Now &now) {
  std::vector<message::BackendStatus> statuses;
  const auto seq = static_cast<std::uint64_t>(now.Wall.time_since_epoch().count());
  for (const std::uint32_t i : state.UnsentStatuses) {
    BackendObservations &o = state.Observations[i];
    const Backend &b = state.Backends[i];
    if (b.State == BackendState::Dead)
      continue;
    // The wall clock orders the statuses that different nodes send about the same back end.
    o.StatusSeq = std::max(o.StatusSeq + 1, seq);
    statuses.push_back({b.Name, o.StatusSeq, o.SlowFactor, b.State == BackendState::Leaving});
  }
  state.UnsentStatuses.clear();
  return statuses;
}

void requestStarted(State &state, RequestId id, const WorkRequest &work, std::string_view backend,
                    const Now &now) {
  const auto i = indexOf(state, backend);
  if (!i || state.Requests.contains(id))
    return;
  BackendObservations &o = state.Observations[*i];
  RunningRequest r;
  r.Backend = *i;
  r.LengthKey = lengthKey(work);
  r.Announced = work.ExpectedTokens;
  r.Limit = work.MaxTokens;
  r.Started = now.Steady;
  r.LastToken = now.Steady;
  r.Work = work;
  r.Probe = o.Ejected && now.Steady >= o.EjectedUntil;
  o.Probes += r.Probe ? 1 : 0;
  ++o.OwnRunning;
  recordRunningChange(o, now.Steady, 1);
  if (work.Suspect) {
    o.SuspectRunning = true;
    o.ReservedForSuspectUntil = TimePoint{};
  }
  const std::size_t cached =
      cachedDepth(state.Prefixes, work.PrefixHashes, *i) * state.Config.BlockTokens;
  r.Prefill = cached < work.PromptTokens ? static_cast<double>(work.PromptTokens - cached) : 0;
  o.OwnPrefill += r.Prefill;
  const double expected = expectedTokens(state, work);
  RunningRequest &stored = state.Requests.emplace(id, std::move(r)).first->second;
  setRemaining(state, stored, expected);
  // The engine will cache the prompt that it reads; its own cache event arrives later.
  for (const std::uint64_t hash : work.PrefixHashes)
    addBlock(state.Prefixes, hash, *i);
}

void requestFirstByte(State &state, RequestId id, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end())
    return;
  RunningRequest &r = it->second;
  r.FirstByte = true;
  r.LastToken = now.Steady;
  clearPrefill(state, r);
  state.Observations[r.Backend].Failures = 0;
}

void requestTokens(State &state, RequestId id, std::uint32_t count, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end() || count == 0)
    return;
  RunningRequest &r = it->second;
  if (!r.FirstByte)
    requestFirstByte(state, id, now);
  else if (state.Backends[r.Backend].Kind == message::WorkKind::Model) {
    BackendObservations &o = state.Observations[r.Backend];
    const double gap = std::max(1e-6, seconds(now.Steady - r.LastToken) / count);
    const double batch =
        std::min<double>(load(state, r.Backend, now), state.Backends[r.Backend].Slots);
    updateMedian(state.NormalTokenTime[o.MachineClass],
                 gap / (1 + state.Config.BatchGrowth * batch));
    recordSlowFactor(state, r.Backend, gap / tokenTime(state, r.Backend, batch), now);
  }
  r.LastToken = now.Steady;
  r.Tokens += count;
  state.RecentTokens += count;
  double left = r.Announced > r.Tokens ? r.Announced - r.Tokens
                                       : expectedRemaining(state.Lengths, r.LengthKey, r.Tokens,
                                                           state.Config.DefaultTokens);
  if (r.Limit > 0)
    left = std::clamp(left, 0.0, std::max(0.0, r.Limit - r.Tokens));
  setRemaining(state, r, left);
}

void requestFinished(State &state, RequestId id, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end())
    return;
  const RunningRequest &r = it->second;
  const std::uint32_t i = r.Backend;
  BackendObservations &o = state.Observations[i];
  o.Failures = 0;
  if (state.Backends[i].Kind == message::WorkKind::Service) {
    const double took = std::max(1e-6, seconds(now.Steady - r.Started));
    updateMedian(state.NormalCallTime[o.MachineClass], took);
    recordSlowFactor(state, i, took / state.NormalCallTime[o.MachineClass], now);
  } else {
    observeLength(state.Lengths, r.LengthKey, r.Tokens);
    state.MeanTokens += MeanTokensWeight * (r.Tokens - state.MeanTokens);
  }
  updateEjection(state, i, now);
  removeRequest(state, it, now);
}

void requestFailed(State &state, RequestId id, Failure failure, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end())
    return;
  const RunningRequest &r = it->second;
  const std::uint32_t i = r.Backend;
  if (failure == Failure::Cancelled && r.Hedged)
    state.RecentHedgeTokens =
        std::max(0.0, state.RecentHedgeTokens - r.HedgeCharge + (r.Tokens - r.HedgeStartTokens));
  removeRequest(state, it, now);
  if (failure != Failure::Refused && failure != Failure::Cancelled)
    countFailure(state, i, now);
}

void connectionFailed(State &state, std::string_view backend, const Now &now) {
  if (const auto i = indexOf(state, backend))
    countFailure(state, *i, now);
}

void tick(State &state, const Now &now) {
  for (const auto &[id, r] : state.Requests) {
    if (!r.FirstByte || state.Backends[r.Backend].Kind != message::WorkKind::Model)
      continue;
    const double silent = seconds(now.Steady - r.LastToken);
    const double batch =
        std::min<double>(load(state, r.Backend, now), state.Backends[r.Backend].Slots);
    const double ratio = silent / tokenTime(state, r.Backend, batch);
    if (ratio > 2 * state.Config.EjectFactor && ratio > state.Observations[r.Backend].SlowFactor)
      recordSlowFactor(state, r.Backend, ratio, now);
  }
  if (now.Steady - state.LastDecay >= HedgeBudgetHalfLife) {
    state.LastDecay = now.Steady;
    state.RecentTokens /= 2;
    state.RecentHedgeTokens /= 2;
  }
}

ChoiceResult choose(State &state, const WorkRequest &work, const Now &now, Random &rng) {
  const double tokens = expectedTokens(state, work);
  const auto d = findBackend(state, work, tokens, now, rng, nullptr);
  if (!d)
    return tl::make_unexpected(d.error());
  // The back end takes no other work while a suspect waits for it to become empty.
  if (work.Suspect && d->Wait > Duration{0})
    state.Observations[d->Index].ReservedForSuspectUntil =
        now.Steady + 2 * state.Config.NoSlotRetryDelay;
  return makeChoice(state, *d, work, tokens);
}

Explanation explain(const State &state, const WorkRequest &work, const Now &now, Random &rng) {
  Explanation e;
  const double tokens = expectedTokens(state, work);
  const auto d = findBackend(state, work, tokens, now, rng, &e.Candidates);
  if (d)
    e.Result = makeChoice(state, *d, work, tokens);
  else
    e.Result = tl::make_unexpected(d.error());
  return e;
}

std::optional<Choice> hedge(State &state, RequestId id, const Now &now, Random &rng) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end())
    return std::nullopt;
  RunningRequest &r = it->second;
  const BackendObservations &o = state.Observations[r.Backend];
  const Backend &b = state.Backends[r.Backend];
  if (!r.Work.Repeatable || r.Work.Suspect || r.Hedged || b.Kind != message::WorkKind::Model ||
      o.SlowFactor < state.Config.EjectFactor)
    return std::nullopt;
  if (state.RecentHedgeTokens + r.Remaining > state.Config.HedgeBudget * state.RecentTokens)
    return std::nullopt;
  const double batch = std::min<double>(load(state, r.Backend, now), b.Slots);
  double here = r.Remaining * tokenTime(state, r.Backend, batch) * o.SlowFactor;
  if (!r.FirstByte)
    here += r.Prefill / state.Config.PrefillRate * o.SlowFactor;
  WorkRequest work = r.Work;
  work.Avoid.push_back(b.Name);
  const auto d = findBackend(state, work, r.Remaining, now, rng, nullptr);
  if (!d || d->Wait > Duration{0} || d->Expected > state.Config.HedgeMaxTimeShare * here)
    return std::nullopt;
  r.Hedged = true;
  r.HedgeCharge = r.Remaining;
  r.HedgeStartTokens = r.Tokens;
  state.RecentHedgeTokens += r.HedgeCharge;
  return makeChoice(state, *d, work, r.Remaining);
}

double expectedTokens(const State &state, const WorkRequest &work) {
  if (work.TargetKind == message::WorkKind::Service)
    return 0;
  double tokens = work.ExpectedTokens;
  if (tokens <= 0)
    tokens = expectedRemaining(state.Lengths, lengthKey(work), 0, state.Config.DefaultTokens);
  return work.MaxTokens > 0 ? std::min<double>(tokens, work.MaxTokens) : tokens;
}

std::vector<RequestId> requestsOn(const State &state, std::string_view backend) {
  std::vector<RequestId> ids;
  const auto i = indexOf(state, backend);
  if (!i)
    return ids;
  for (const auto &[id, r] : state.Requests)
    if (r.Backend == *i)
      ids.push_back(id);
  std::ranges::sort(ids);
  return ids;
}

std::size_t stateBytes(const State &state) {
  // 16 bytes of node and bucket overhead per hash table entry, 24 per string beyond the inline
  // part.
  const auto text = [](const std::string &s) { return s.capacity() > 15 ? s.capacity() + 1 : 0; };
  std::size_t bytes = sizeof(State);
  for (const Backend &b : state.Backends) {
    bytes += sizeof(Backend) + text(b.Name) + text(b.Address) + text(b.Zone) + text(b.DataCentre) +
             text(b.MachineClass);
    for (const std::string &t : b.Targets)
      bytes += sizeof(std::string) + text(t);
  }
  for (const BackendObservations &o : state.Observations)
    bytes += sizeof(o) + o.RunningChanges.capacity() * sizeof(o.RunningChanges[0]);
  for (const auto &[name, i] : state.Index)
    bytes += sizeof(std::string) + text(name) + 32;
  for (const auto *pools : {&state.Models, &state.Services})
    for (const auto &[name, p] : *pools)
      bytes += sizeof(p) + sizeof(std::string) + p.Members.capacity() * sizeof(p.Members[0]) +
               p.WeightSums.capacity() * sizeof(double);
  bytes += state.Requests.size() * (sizeof(RunningRequest) + 24);
  bytes += state.Lengths.ByKey.size() * (sizeof(LengthHistogram) + 32);
  for (const auto &[hash, holders] : state.Prefixes.Holders)
    bytes += sizeof(hash) + sizeof(std::vector<PrefixHolder>) + 24 +
             holders.capacity() * sizeof(holders[0]);
  bytes += state.Prefixes.Order.size() * sizeof(state.Prefixes.Order[0]);
  return bytes;
}

} // namespace chervil::routing
