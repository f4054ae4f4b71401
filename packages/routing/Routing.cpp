#include "routing/Routing.h"

#include "base/Hash.h"
#include "routing/SuspectPlace.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chervil::routing {
namespace {

/// Weight of one observation. About 10 tokens show a change, one late packet does not.
constexpr double SampleWeight = 0.15;
/// Step of the running medians: 70 observations correct a factor of 2.
constexpr double MedianStep = 1.01;
/// Own observations are preferred to news of other nodes for this long.
constexpr Duration OwnFresh = std::chrono::seconds(2);
/// A slow factor without new observations fades towards 1 with this time constant.
constexpr double FadeSeconds = 30;
/// Starts and ends kept per back end to correct the next load report.
constexpr std::size_t MaxSince = 512;
/// The budget of hedges looks back over about this time.
constexpr Duration BudgetWindow = std::chrono::seconds(60);
/// Random draws before the pool is searched in order.
constexpr int MaxDraws = 8;
/// Holders of the longest cached prefix that are compared.
constexpr std::size_t MaxHolders = 3;

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

std::uint64_t lengthKey(const WorkRequest &work) {
  return hashBytes(work.Target, hashPair(work.Customer, work.Kind));
}

std::uint32_t classIndex(State &state, const std::string &name) {
  const auto [it, added] =
      state.Classes.try_emplace(name, static_cast<std::uint32_t>(state.Classes.size()));
  if (added) {
    state.NormalTime.push_back(0);
    state.NormalCall.push_back(0);
  }
  return it->second;
}

std::uint32_t othersRunning(const State &state, const Observed &o, const Now &now) {
  return now.Steady - o.ReportTaken > state.Config.ReportMaxAge ? 0 : o.OthersRunning;
}

std::uint32_t load(const State &state, std::uint32_t i, const Now &now) {
  return state.Seen[i].OwnRunning + othersRunning(state, state.Seen[i], now);
}

/// Slow factor to reckon with. A back end whose ejection has ended is taken for normal: its probe
/// could not win a comparison otherwise.
double slowFactor(const Observed &o, const Now &now) {
  if (o.Ejected)
    return now.Steady >= o.EjectedUntil ? 1 : o.SlowFactor;
  const double age = seconds(now.Steady - o.SlowAt);
  return age < 1 ? o.SlowFactor : 1 + (o.SlowFactor - 1) * std::exp(-age / FadeSeconds);
}

double loneTokenTime(const State &state, std::uint32_t cls) {
  return state.NormalTime[cls] > 0 ? state.NormalTime[cls] : seconds(state.Config.TokenTime);
}

/// Normal seconds per token with `batch` streams.
double tokenTime(const State &state, std::uint32_t i, double batch) {
  return loneTokenTime(state, state.Seen[i].MachineClass) * (1 + state.Config.BatchGrowth * batch);
}

double slotsOf(const Backend &b) { return std::max(1.0, b.Slots * b.WarmUp); }

/// Expected completion time of the work on back end `i`, in seconds.
double expectedTime(const State &state, std::uint32_t i, const WorkRequest &work, double tokens,
                    double cachedTokens, const Now &now) {
  const Backend &b = state.Backends[i];
  const Observed &o = state.Seen[i];
  const double slow = slowFactor(o, now);
  const double running = load(state, i, now);
  const double slots = slotsOf(b);
  double total = 0;
  if (b.Kind == message::WorkKind::Service) {
    const double call = state.NormalCall[o.MachineClass] > 0 ? state.NormalCall[o.MachineClass]
                                                             : seconds(state.Config.TokenTime);
    // The small term spreads calls while all back ends have free slots.
    total = call * slow * (std::max(1.0, (running + 1) / slots) + 0.1 * running / slots);
  } else {
    const double perToken = tokenTime(state, i, std::min(running + 1, slots)) * slow;
    const double left = o.OwnRunning > 0 ? o.OwnRemaining / o.OwnRunning : state.MeanTokens;
    const double waiting = std::max(0.0, running + 1 - slots) / slots * left * perToken;
    const double prompt = std::max(0.0, work.PromptTokens - cachedTokens);
    total = waiting + (o.OwnPrefill + prompt) / state.Config.PrefillRate * slow + tokens * perToken;
  }
  return total * (1 + state.Config.PriceWeight * b.Price);
}

bool isLong(const State &state, const WorkRequest &work, double tokens) {
  return work.TargetKind == message::WorkKind::Model && tokens >= state.Config.LongTokens;
}

/// Why back end `i` cannot take the work at all, slots aside.
Rejected unusable(const State &state, std::uint32_t i, const WorkRequest &work, bool useEjected,
                  const Now &now) {
  const Backend &b = state.Backends[i];
  const Observed &o = state.Seen[i];
  if (b.State != BackendState::Live)
    return b.State == BackendState::Leaving ? Rejected::Leaving : Rejected::Dead;
  if (std::ranges::find(work.Avoid, b.Name) != work.Avoid.end())
    return Rejected::Avoided;
  if (o.SuspectRuns || (!work.Suspect && now.Steady < o.EmptyUntil))
    return Rejected::Isolated;
  if (o.Ejected && !useEjected) {
    const bool probe = now.Steady >= o.EjectedUntil && o.Probes == 0 && work.Repeatable;
    if (!probe)
      return Rejected::Ejected;
  }
  return Rejected::No;
}

/// Whether the work may take one more slot of back end `i`.
bool hasSlot(const State &state, std::uint32_t i, bool longWork, const Now &now) {
  if (!longWork)
    return true;
  const double slots = slotsOf(state.Backends[i]);
  const double reserved = std::ceil(slots * state.Config.ReservedShare);
  return load(state, i, now) + 1 <= std::max(1.0, slots - reserved);
}

struct Decision {
  static constexpr std::uint32_t None = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t Index = None;
  double Expected = std::numeric_limits<double>::infinity();
  std::uint32_t Cached = 0;
  Duration Wait{0};
};

/// One search for a back end; collects candidates when `Log` is set.
struct Search {
  const State &S;
  const WorkRequest &Work;
  const Now &At;
  double Tokens;
  bool Long;
  bool UseEjected = false;
  std::vector<Candidate> *Log = nullptr;
  Decision Best;
  /// Best back end apart from the lack of a free slot.
  Decision Full;
};

/// Compares back end `i` with the best so far. `credit` is the share of the prompt to count as
/// cached although it is not yet. Returns false if it cannot be used.
bool consider(Search &s, std::uint32_t i, double credit) {
  Rejected reason = unusable(s.S, i, s.Work, s.UseEjected, s.At);
  const auto cached = static_cast<std::uint32_t>(
      std::min<std::size_t>(s.Work.PromptTokens, cachedDepth(s.S.Prefixes, s.Work.PrefixHashes, i) *
                                                     s.S.Config.BlockTokens));
  const double counted = std::max<double>(cached, credit * s.Work.PromptTokens);
  const double expected = expectedTime(s.S, i, s.Work, s.Tokens, counted, s.At);
  const bool slot = hasSlot(s.S, i, s.Long, s.At);
  if (reason == Rejected::No && !slot)
    reason = Rejected::ReservedSlots;
  if (s.Log != nullptr)
    s.Log->push_back({s.S.Backends[i].Name, fromSeconds(expected), cached,
                      slowFactor(s.S.Seen[i], s.At), load(s.S, i, s.At), reason});
  Decision &best = reason == Rejected::ReservedSlots ? s.Full : s.Best;
  if ((reason == Rejected::No || reason == Rejected::ReservedSlots) && expected < best.Expected)
    best = {i, expected, cached, Duration{0}};
  return reason == Rejected::No;
}

/// Two random candidates, weighted by zone.
void considerTwo(Search &s, const Pool &pool, Random &rng) {
  std::uniform_real_distribution<double> pick(0, pool.WeightSums.back());
  std::uniform_real_distribution<double> unit(0, 1);
  std::uint32_t first = Decision::None;
  int found = 0;
  for (int draw = 0; draw < MaxDraws && found < 2; ++draw) {
    const auto at = std::ranges::upper_bound(pool.WeightSums, pick(rng)) - pool.WeightSums.begin();
    const std::uint32_t i =
        pool.Members[std::min<std::size_t>(static_cast<std::size_t>(at), pool.Members.size() - 1)];
    if (i == first)
      continue;
    const double warm = s.S.Backends[i].WarmUp;
    if (warm < 1 && unit(rng) >= warm)
      continue;
    if (consider(s, i, 0)) {
      first = i;
      ++found;
    }
  }
}

/// The back ends that hold the prefix, and its place by rendezvous hash among those whose load is
/// within the bound.
void considerPrefix(Search &s, const Pool &pool) {
  if (s.Work.PrefixHashes.empty())
    return;
  double sum = 0;
  for (const std::uint32_t i : pool.Members)
    sum += load(s.S, i, s.At);
  const double bound =
      s.S.Config.PrefixLoadBound * (sum + 1) / static_cast<double>(pool.Members.size());
  std::size_t looked = 0;
  for (const std::uint32_t i : deepestHolders(s.S.Prefixes, s.Work.PrefixHashes)) {
    if (looked == MaxHolders)
      break;
    if (s.S.Seen[i].InUse && load(s.S, i, s.At) <= bound + 1) {
      consider(s, i, 0);
      ++looked;
    }
  }
  std::uint32_t home = Decision::None;
  std::uint64_t top = 0;
  for (const std::uint32_t i : pool.Members) {
    const std::uint64_t rank = mixHashes(s.Work.PrefixHashes.front(), s.S.Seen[i].NameHash);
    if ((home == Decision::None || rank > top) && load(s.S, i, s.At) <= bound &&
        unusable(s.S, i, s.Work, s.UseEjected, s.At) == Rejected::No) {
      home = i;
      top = rank;
    }
  }
  // Half the prompt is counted as cached: later requests with the prefix gain what this one pays.
  if (home != Decision::None)
    consider(s, home, 0.5);
}

/// The back end at which the suspect meets no other suspect. It is emptied first.
void considerAlone(Search &s, const Pool &pool) {
  const Suspicion &suspicion = *s.Work.Suspect;
  std::vector<std::uint32_t> usable;
  std::vector<std::uint64_t> names;
  for (const std::uint32_t i : pool.Members) {
    // A back end where a suspect of this node runs keeps its place in the assignment.
    const Rejected reason = unusable(s.S, i, s.Work, s.UseEjected, s.At);
    if (reason != Rejected::No && reason != Rejected::Isolated)
      continue;
    usable.push_back(i);
    names.push_back(s.S.Seen[i].NameHash);
  }
  if (usable.empty())
    return;
  const SuspectPlace place = placeOfSuspect(suspicion, names);
  const std::uint32_t i = usable[place.Backend];
  const Observed &o = s.S.Seen[i];
  const std::uint32_t running = load(s.S, i, s.At);
  const TimePoint start = startOfSuspect(suspicion, place);
  const bool inTime = s.At.Steady >= start && !o.SuspectRuns;
  const bool empty = running == 0 || s.At.Steady >= start + SuspectEmptyWait;
  s.Best = {i, expectedTime(s.S, i, s.Work, s.Tokens, 0, s.At), 0,
            inTime && empty ? Duration{0} : s.S.Config.HoldFor};
  if (s.Log != nullptr)
    s.Log->push_back({s.S.Backends[i].Name, fromSeconds(s.Best.Expected), 0, slowFactor(o, s.At),
                      running, Rejected::No});
}

tl::expected<Decision, ResultCode> decide(const State &state, const WorkRequest &work,
                                          double tokens, const Now &now, Random &rng,
                                          std::vector<Candidate> *log) {
  const Pool *pool = findPool(state, work.TargetKind, work.Target);
  if (pool == nullptr)
    return tl::make_unexpected(work.TargetKind == message::WorkKind::Model
                                   ? ResultCode::UnknownModel
                                   : ResultCode::UnknownService);
  if (pool->Members.empty())
    return tl::make_unexpected(ResultCode::NoBackend);
  Search s{state, work, now, tokens, isLong(state, work, tokens), false, log, {}, {}};
  for (const bool useEjected : {false, true}) {
    s.UseEjected = useEjected;
    if (work.Suspect) {
      considerAlone(s, *pool);
    } else {
      considerPrefix(s, *pool);
      considerTwo(s, *pool, rng);
      // Leaving, full or avoided back ends may have taken all draws.
      if (s.Best.Index == Decision::None)
        for (const std::uint32_t i : pool->Members)
          consider(s, i, 0);
    }
    if (s.Best.Index != Decision::None)
      return s.Best;
    if (s.Full.Index != Decision::None) {
      s.Full.Wait = state.Config.HoldFor;
      return s.Full;
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
  // Long work runs after everything that is not long, whatever its stated priority.
  c.EnginePriority =
      static_cast<std::uint8_t>(work.Priority + (isLong(state, work, tokens) ? 16 : 0));
  c.Wait = d.Wait;
  return c;
}

template <typename F> void forPools(State &state, std::uint32_t i, F f) {
  const Backend &b = state.Backends[i];
  auto &pools = poolsOf(state, b.Kind);
  for (const std::string &target : b.Targets)
    if (const auto it = pools.find(target); it != pools.end())
      f(it->second);
}

void endEjection(State &state, std::uint32_t i) {
  Observed &o = state.Seen[i];
  if (!o.Ejected)
    return;
  o.Ejected = false;
  o.Probes = 0;
  if (o.InUse)
    forPools(state, i, [](Pool &p) { p.Ejected -= p.Ejected > 0 ? 1 : 0; });
}

Duration ejectionTime(const State &state, std::uint32_t ejections) {
  return std::min(state.Config.EjectMax,
                  state.Config.EjectFor * (std::int64_t{1} << std::min(ejections, 10U)));
}

/// Ejects the back end unless a third of one of its pools is ejected already.
void eject(State &state, std::uint32_t i, const Now &now) {
  Observed &o = state.Seen[i];
  if (o.Ejected || !o.InUse)
    return;
  bool allowed = true;
  forPools(state, i, [&](const Pool &p) {
    allowed = allowed && p.Ejected + 1 <=
                             static_cast<double>(p.Members.size()) * state.Config.EjectShare + 1e-9;
  });
  if (!allowed)
    return;
  if (now.Steady - o.EjectedUntil > state.Config.EjectMax)
    o.Ejections = 0;
  o.Ejected = true;
  o.Probes = 0;
  o.EjectedUntil = now.Steady + ejectionTime(state, o.Ejections++);
  forPools(state, i, [](Pool &p) { ++p.Ejected; });
}

void noteNews(State &state, std::uint32_t i) {
  Observed &o = state.Seen[i];
  const double ratio = o.SlowFactor / o.NewsFactor;
  if (ratio < state.Config.NewsRatio && ratio > 1 / state.Config.NewsRatio)
    return;
  o.NewsFactor = o.SlowFactor;
  if (std::ranges::find(state.NewsDue, i) == state.NewsDue.end())
    state.NewsDue.push_back(i);
}

void judge(State &state, std::uint32_t i, const Now &now) {
  Observed &o = state.Seen[i];
  if (o.SlowFactor >= state.Config.EjectFactor)
    eject(state, i, now);
  else if (o.Ejected && o.Failures == 0 && o.SlowFactor <= state.Config.ReturnFactor)
    endEjection(state, i);
}

/// Takes one observation in: `ratio` is observed over normal time.
void sample(State &state, std::uint32_t i, double ratio, const Now &now) {
  Observed &o = state.Seen[i];
  o.SlowFactor += SampleWeight * (std::min(ratio, 20.0) - o.SlowFactor);
  o.SlowAt = now.Steady;
  noteNews(state, i);
  judge(state, i, now);
}

void moveMedian(double &median, double value) {
  if (median <= 0)
    median = value;
  else
    median *= value > median ? MedianStep : 1 / MedianStep;
}

void noteSince(Observed &o, TimePoint at, std::int8_t change) {
  if (o.Since.size() >= MaxSince)
    o.Since.erase(o.Since.begin(), o.Since.begin() + MaxSince / 2);
  o.Since.emplace_back(at, change);
}

void setRemaining(State &state, Running &r, double remaining) {
  Observed &o = state.Seen[r.Backend];
  o.OwnRemaining = std::max(0.0, o.OwnRemaining + remaining - r.Remaining);
  r.Remaining = remaining;
}

void clearPrefill(State &state, Running &r) {
  Observed &o = state.Seen[r.Backend];
  o.OwnPrefill = std::max(0.0, o.OwnPrefill - r.Prefill);
  r.Prefill = 0;
}

/// Removes a request; its effects on the back end's figures end.
void drop(State &state, std::unordered_map<RequestId, Running>::iterator it, const Now &now) {
  Running &r = it->second;
  Observed &o = state.Seen[r.Backend];
  setRemaining(state, r, 0);
  clearPrefill(state, r);
  o.OwnRunning -= o.OwnRunning > 0 ? 1 : 0;
  noteSince(o, now.Steady, -1);
  if (r.Work.Suspect)
    o.SuspectRuns = false;
  if (r.Probe && o.Probes > 0) {
    --o.Probes;
    if (o.Ejected)
      o.EjectedUntil = now.Steady + ejectionTime(state, o.Ejections++);
  }
  state.Requests.erase(it);
}

void countFailure(State &state, std::uint32_t i, const Now &now) {
  Observed &o = state.Seen[i];
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

/// Forgets what was observed of an earlier back end in this place.
void resetObserved(State &state, std::uint32_t i) {
  const Backend &b = state.Backends[i];
  Observed o;
  o.NameHash = hashBytes(b.Name);
  o.MachineClass = classIndex(state, b.MachineClass);
  state.Seen[i] = std::move(o);
}

double zoneWeight(const Options &o, const Backend &b) {
  if (b.DataCentre != o.DataCentre)
    return o.OtherDataCentreWeight;
  return b.Zone == o.Zone ? 1.0 : o.OtherZoneWeight;
}

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
        return mixHashes(self, state.Seen[i].NameHash);
      });
      pool.Members.erase(cut, pool.Members.end());
      std::ranges::sort(pool.Members);
    }
    double sum = 0;
    for (const std::uint32_t i : pool.Members) {
      state.Seen[i].InUse = true;
      sum += zoneWeight(state.Config, state.Backends[i]);
      pool.WeightSums.push_back(sum);
      pool.Ejected += state.Seen[i].Ejected ? 1 : 0;
    }
  }
}

bool sameChoice(const Backend &a, const Backend &b) {
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
    changed = changed || !sameChoice(old, b) || before != b.State;
    const bool otherClass = old.MachineClass != b.MachineClass;
    old = b;
    if (before == BackendState::Leaving) {
      old.Deadline = b.State == BackendState::Leaving ? std::min(deadline, b.Deadline) : deadline;
      old.State = BackendState::Leaving;
    }
    if (otherClass)
      state.Seen[*i].MachineClass = classIndex(state, b.MachineClass);
  }
  for (std::uint32_t i = 0; i < listed.size(); ++i)
    if (!listed[i] && state.Backends[i].State != BackendState::Dead) {
      markDead(state, i);
      state.Free.push_back(i);
      changed = true;
    }
  for (const Backend *b : fresh) {
    // A place is reused only when no request of its former back end is left.
    const auto free = std::ranges::find_if(
        state.Free, [&](std::uint32_t i) { return state.Seen[i].OwnRunning == 0; });
    std::uint32_t i = 0;
    if (free != state.Free.end()) {
      i = *free;
      state.Free.erase(free);
    } else {
      i = static_cast<std::uint32_t>(state.Backends.size());
      state.Backends.emplace_back();
      state.Seen.emplace_back();
    }
    state.Backends[i] = *b;
    state.Index[b->Name] = i;
    resetObserved(state, i);
    changed = true;
  }
  if (!changed)
    return;
  for (Observed &o : state.Seen)
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

void loadReport(State &state, const LoadReport &report, const Now &now) {
  const auto i = indexOf(state, report.Backend);
  if (!i)
    return;
  Observed &o = state.Seen[*i];
  const TimePoint taken = now.Steady - report.Age;
  if (taken < o.ReportTaken)
    return;
  // What this node had running when the report was taken: the rest belongs to other nodes.
  std::int64_t own = o.OwnRunning;
  for (const auto &[at, change] : o.Since)
    if (at > taken)
      own -= change;
  std::erase_if(o.Since, [&](const auto &it) { return it.first <= taken; });
  const std::int64_t total = std::int64_t{report.Running} + report.Queued;
  o.OthersRunning =
      static_cast<std::uint32_t>(std::max<std::int64_t>(0, total - std::max<std::int64_t>(own, 0)));
  o.ReportTaken = taken;
}

bool cacheEvent(State &state, const CacheEvent &event, const Now &) {
  const auto i = indexOf(state, event.Backend);
  if (!i || !state.Seen[*i].InUse)
    return true;
  Observed &o = state.Seen[*i];
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

void backendNews(State &state, const message::BackendNews &news, const Now &now) {
  const auto i = indexOf(state, news.Backend);
  if (!i)
    return;
  // News carries no deadline; the notice or the VM list brings it.
  if (news.Leaving)
    backendLeaving(state, news.Backend, TimePoint::max(), now);
  Observed &o = state.Seen[*i];
  if (news.Seq <= o.NewsSeq)
    return;
  o.NewsSeq = news.Seq;
  if (o.OwnRunning > 0 && now.Steady - o.SlowAt < OwnFresh)
    return;
  o.SlowFactor = std::clamp(news.SlowFactor, 0.05, 20.0);
  o.NewsFactor = o.SlowFactor;
  o.SlowAt = now.Steady;
  if (o.Ejected && o.SlowFactor >= state.Config.EjectFactor)
    o.EjectedUntil = std::max(o.EjectedUntil, now.Steady + state.Config.EjectFor);
  judge(state, *i, now);
}

std::vector<message::BackendNews> takeNews(State &state, const Now &now) {
  std::vector<message::BackendNews> news;
  const auto seq = static_cast<std::uint64_t>(now.Wall.time_since_epoch().count());
  for (const std::uint32_t i : state.NewsDue) {
    Observed &o = state.Seen[i];
    const Backend &b = state.Backends[i];
    if (b.State == BackendState::Dead)
      continue;
    // The wall clock orders news of different nodes about one back end.
    o.NewsSeq = std::max(o.NewsSeq + 1, seq);
    news.push_back({b.Name, o.NewsSeq, o.SlowFactor, b.State == BackendState::Leaving});
  }
  state.NewsDue.clear();
  return news;
}

void requestStarted(State &state, RequestId id, const WorkRequest &work, std::string_view backend,
                    const Now &now) {
  const auto i = indexOf(state, backend);
  if (!i || state.Requests.contains(id))
    return;
  Observed &o = state.Seen[*i];
  Running r;
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
  noteSince(o, now.Steady, 1);
  if (work.Suspect) {
    o.SuspectRuns = true;
    o.EmptyUntil = TimePoint{};
  }
  const std::size_t cached =
      cachedDepth(state.Prefixes, work.PrefixHashes, *i) * state.Config.BlockTokens;
  r.Prefill = cached < work.PromptTokens ? static_cast<double>(work.PromptTokens - cached) : 0;
  o.OwnPrefill += r.Prefill;
  const double expected = expectedTokens(state, work);
  Running &stored = state.Requests.emplace(id, std::move(r)).first->second;
  setRemaining(state, stored, expected);
  // The engine caches the prompt it is about to read; its own event comes later.
  for (const std::uint64_t hash : work.PrefixHashes)
    addBlock(state.Prefixes, hash, *i);
}

void requestFirstByte(State &state, RequestId id, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end())
    return;
  Running &r = it->second;
  r.FirstByte = true;
  r.LastToken = now.Steady;
  clearPrefill(state, r);
  state.Seen[r.Backend].Failures = 0;
}

void requestTokens(State &state, RequestId id, std::uint32_t count, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end() || count == 0)
    return;
  Running &r = it->second;
  if (!r.FirstByte)
    requestFirstByte(state, id, now);
  else if (state.Backends[r.Backend].Kind == message::WorkKind::Model) {
    Observed &o = state.Seen[r.Backend];
    const double gap = std::max(1e-6, seconds(now.Steady - r.LastToken) / count);
    const double batch =
        std::min<double>(load(state, r.Backend, now), state.Backends[r.Backend].Slots);
    moveMedian(state.NormalTime[o.MachineClass], gap / (1 + state.Config.BatchGrowth * batch));
    sample(state, r.Backend, gap / tokenTime(state, r.Backend, batch), now);
  }
  r.LastToken = now.Steady;
  r.Tokens += count;
  state.WorkDone += count;
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
  const Running &r = it->second;
  const std::uint32_t i = r.Backend;
  Observed &o = state.Seen[i];
  o.Failures = 0;
  if (state.Backends[i].Kind == message::WorkKind::Service) {
    const double took = std::max(1e-6, seconds(now.Steady - r.Started));
    moveMedian(state.NormalCall[o.MachineClass], took);
    sample(state, i, took / state.NormalCall[o.MachineClass], now);
  } else {
    observeLength(state.Lengths, r.LengthKey, r.Tokens);
    state.MeanTokens += 0.01 * (r.Tokens - state.MeanTokens);
  }
  judge(state, i, now);
  drop(state, it, now);
}

void requestFailed(State &state, RequestId id, Failure failure, const Now &now) {
  const auto it = state.Requests.find(id);
  if (it == state.Requests.end())
    return;
  const Running &r = it->second;
  const std::uint32_t i = r.Backend;
  if (failure == Failure::Cancelled && r.Hedged)
    state.HedgeDone = std::max(0.0, state.HedgeDone - r.HedgeCharge + (r.Tokens - r.HedgeAt));
  drop(state, it, now);
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
    if (ratio > 2 * state.Config.EjectFactor && ratio > state.Seen[r.Backend].SlowFactor)
      sample(state, r.Backend, ratio, now);
  }
  if (now.Steady - state.Decayed >= BudgetWindow) {
    state.Decayed = now.Steady;
    state.WorkDone /= 2;
    state.HedgeDone /= 2;
  }
}

ChoiceResult choose(State &state, const WorkRequest &work, const Now &now, Random &rng) {
  const double tokens = expectedTokens(state, work);
  const auto d = decide(state, work, tokens, now, rng, nullptr);
  if (!d)
    return tl::make_unexpected(d.error());
  // The back end takes nothing else while a suspect waits for it to become empty.
  if (work.Suspect && d->Wait > Duration{0})
    state.Seen[d->Index].EmptyUntil = now.Steady + 2 * state.Config.HoldFor;
  return makeChoice(state, *d, work, tokens);
}

Explanation explain(const State &state, const WorkRequest &work, const Now &now, Random &rng) {
  Explanation e;
  const double tokens = expectedTokens(state, work);
  const auto d = decide(state, work, tokens, now, rng, &e.Candidates);
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
  Running &r = it->second;
  const Observed &o = state.Seen[r.Backend];
  const Backend &b = state.Backends[r.Backend];
  if (!r.Work.Repeatable || r.Work.Suspect || r.Hedged || b.Kind != message::WorkKind::Model ||
      o.SlowFactor < state.Config.EjectFactor)
    return std::nullopt;
  if (state.HedgeDone + r.Remaining > state.Config.HedgeBudget * state.WorkDone)
    return std::nullopt;
  const double batch = std::min<double>(load(state, r.Backend, now), b.Slots);
  double here = r.Remaining * tokenTime(state, r.Backend, batch) * o.SlowFactor;
  if (!r.FirstByte)
    here += r.Prefill / state.Config.PrefillRate * o.SlowFactor;
  WorkRequest work = r.Work;
  work.Avoid.push_back(b.Name);
  const auto d = decide(state, work, r.Remaining, now, rng, nullptr);
  if (!d || d->Wait > Duration{0} || d->Expected > state.Config.HedgeGain * here)
    return std::nullopt;
  r.Hedged = true;
  r.HedgeCharge = r.Remaining;
  r.HedgeAt = r.Tokens;
  state.HedgeDone += r.HedgeCharge;
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
  for (const Observed &o : state.Seen)
    bytes += sizeof(o) + o.Since.capacity() * sizeof(o.Since[0]);
  for (const auto &[name, i] : state.Index)
    bytes += sizeof(std::string) + text(name) + 32;
  for (const auto *pools : {&state.Models, &state.Services})
    for (const auto &[name, p] : *pools)
      bytes += sizeof(p) + sizeof(std::string) + p.Members.capacity() * sizeof(p.Members[0]) +
               p.WeightSums.capacity() * sizeof(double);
  bytes += state.Requests.size() * (sizeof(Running) + 24);
  bytes += state.Lengths.ByKey.size() * (sizeof(LengthHistogram) + 32);
  for (const auto &[hash, holders] : state.Prefixes.Holders)
    bytes += sizeof(hash) + sizeof(std::vector<PrefixHolder>) + 24 +
             holders.capacity() * sizeof(holders[0]);
  bytes += state.Prefixes.Order.size() * sizeof(state.Prefixes.Order[0]);
  return bytes;
}

} // namespace chervil::routing
