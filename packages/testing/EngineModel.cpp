#include "testing/EngineModel.h"

#include <algorithm>

namespace chervil::testing {
namespace {

void touch(EngineModel &e, std::uint64_t hash) {
  e.Recent.splice(e.Recent.begin(), e.Recent, e.Cache.at(hash));
}

/// Leading blocks in the cache. Touched from the last to the first, so that the end of a chain is
/// evicted before its start.
std::uint32_t lookUp(EngineModel &e, const std::vector<std::uint64_t> &chain) {
  std::size_t depth = 0;
  while (depth < chain.size() && e.Cache.contains(chain[depth]))
    ++depth;
  for (std::size_t i = depth; i-- > 0;)
    touch(e, chain[i]);
  return static_cast<std::uint32_t>(depth);
}

void store(EngineModel &e, const std::vector<std::uint64_t> &chain, Random &rng) {
  EngineCacheEvent event;
  for (std::size_t i = chain.size(); i-- > 0;) {
    const std::uint64_t hash = chain[i];
    if (e.Cache.contains(hash)) {
      touch(e, hash);
      continue;
    }
    e.Recent.push_front(hash);
    e.Cache[hash] = e.Recent.begin();
    event.Added.push_back(hash);
  }
  while (e.Cache.size() > e.Spec.CacheBlocks) {
    event.Removed.push_back(e.Recent.back());
    e.Cache.erase(e.Recent.back());
    e.Recent.pop_back();
  }
  if (event.Added.empty() && event.Removed.empty())
    return;
  event.Seq = ++e.CacheSeq;
  event.Delivered = e.Clock + e.Spec.CacheLag;
  std::bernoulli_distribution lost(e.Spec.CacheLoss);
  if (!lost(rng))
    e.CacheEvents.push_back(std::move(event));
}

bool goesBefore(const EngineStream &a, const EngineStream &b) {
  return a.Work.Priority != b.Work.Priority ? a.Work.Priority < b.Work.Priority : a.Order < b.Order;
}

void admit(EngineModel &e) {
  while (e.Running.size() < e.Spec.Slots && !e.Queue.empty()) {
    const auto it = std::ranges::min_element(e.Queue, goesBefore);
    EngineStream s = std::move(*it);
    e.Queue.erase(it);
    s.Done = s.Work.Generated;
    if (s.Work.HasKv) {
      s.Cached = s.Work.PromptTokens;
    } else {
      s.Cached = std::min(s.Work.PromptTokens, lookUp(e, s.Work.PrefixHashes) * e.Spec.BlockTokens);
      s.Prefill = s.Work.PromptTokens - s.Cached + s.Work.Generated;
    }
    e.Running.push_back(std::move(s));
  }
}

void startStep(EngineModel &e) {
  admit(e);
  if (e.Running.empty())
    return;
  std::ranges::sort(e.Running, goesBefore);
  std::uint32_t budget = e.Spec.PrefillChunk;
  std::uint32_t decoding = 0;
  for (EngineStream &s : e.Running) {
    s.Decoding = s.Prefill == 0;
    s.Reading = std::min(s.Prefill, budget);
    budget -= s.Reading;
    decoding += s.Decoding ? 1 : 0;
  }
  const double read = e.Spec.PrefillChunk - budget;
  const double token = std::chrono::duration<double>(e.Spec.TokenTime).count();
  double time = read / e.Spec.PrefillRate;
  if (decoding > 0)
    time += token * (1 + e.Spec.BatchGrowth * decoding);
  e.StepEnd = e.Clock + Duration(static_cast<Duration::rep>(time * e.SlowFactor * 1e6) + 1);
}

void finishStep(EngineModel &e, Random &rng, EngineOutput &out) {
  using Kind = EngineEvent::Kind;
  e.StepEnd.reset();
  for (EngineStream &s : e.Running) {
    e.PromptTokensRead += s.Reading;
    s.Prefill -= s.Reading;
    const bool read = s.Reading > 0 && s.Prefill == 0;
    s.Reading = 0;
    if (!s.Decoding && !read)
      continue;
    if (read)
      store(e, s.Work.PrefixHashes, rng);
    ++s.Done;
    ++e.TokensGenerated;
    out.Events.push_back(
        {s.Started ? Kind::Token : Kind::FirstToken, s.Work.Id, e.Clock, s.Cached});
    s.Started = true;
    if (s.Done >= s.Work.OutputTokens)
      out.Events.push_back({Kind::Finished, s.Work.Id, e.Clock, s.Cached});
  }
  std::erase_if(e.Running, [](const EngineStream &s) { return s.Done >= s.Work.OutputTokens; });
}

void takeReport(EngineModel &e) {
  e.Reports.push_back({e.NextReport, e.NextReport + e.Spec.ReportLag,
                       static_cast<std::uint32_t>(e.Running.size()),
                       static_cast<std::uint32_t>(e.Queue.size())});
  e.NextReport += e.Spec.ReportEvery;
}

} // namespace

EngineModel makeEngine(const EngineSpec &spec, TimePoint start) {
  EngineModel e;
  e.Spec = spec;
  e.Clock = start;
  e.NextReport = start + spec.ReportEvery;
  return e;
}

void submit(EngineModel &engine, EngineWork work, TimePoint now) {
  engine.Clock = std::max(engine.Clock, now);
  EngineStream s;
  s.Work = std::move(work);
  s.Order = engine.NextOrder++;
  engine.Queue.push_back(std::move(s));
  if (!engine.StepEnd)
    startStep(engine);
}

bool cancel(EngineModel &engine, std::uint64_t id) {
  const auto same = [id](const EngineStream &s) { return s.Work.Id == id; };
  return std::erase_if(engine.Queue, same) + std::erase_if(engine.Running, same) > 0;
}

std::optional<EngineWork> exportKv(EngineModel &engine, std::uint64_t id) {
  for (const EngineStream &s : engine.Running) {
    if (s.Work.Id != id || s.Prefill > 0 || !s.Started)
      continue;
    EngineWork work = s.Work;
    work.Generated = s.Done;
    work.HasKv = true;
    cancel(engine, id);
    return work;
  }
  return std::nullopt;
}

void advance(EngineModel &engine, TimePoint to, Random &rng, EngineOutput &out) {
  while (true) {
    const TimePoint step = engine.StepEnd.value_or(TimePoint::max());
    if (std::min(step, engine.NextReport) > to)
      break;
    if (engine.NextReport < step) {
      engine.Clock = std::max(engine.Clock, engine.NextReport);
      takeReport(engine);
      continue;
    }
    engine.Clock = step;
    finishStep(engine, rng, out);
    startStep(engine);
  }
  engine.Clock = std::max(engine.Clock, to);
  while (!engine.Reports.empty() && engine.Reports.front().Delivered <= to) {
    out.Reports.push_back(engine.Reports.front());
    engine.Reports.pop_front();
  }
  while (!engine.CacheEvents.empty() && engine.CacheEvents.front().Delivered <= to) {
    out.CacheEvents.push_back(std::move(engine.CacheEvents.front()));
    engine.CacheEvents.pop_front();
  }
}

TimePoint nextTime(const EngineModel &engine) {
  TimePoint next = std::min(engine.NextReport, engine.StepEnd.value_or(TimePoint::max()));
  if (!engine.Reports.empty())
    next = std::min(next, engine.Reports.front().Delivered);
  if (!engine.CacheEvents.empty())
    next = std::min(next, engine.CacheEvents.front().Delivered);
  return next;
}

EngineCacheEvent cacheSnapshot(const EngineModel &engine) {
  EngineCacheEvent event;
  event.Seq = engine.CacheSeq;
  event.Added.assign(engine.Recent.begin(), engine.Recent.end());
  return event;
}

} // namespace chervil::testing
