// Model of an engine with continuous batching, for tests and stand-ins. It has no clock: the caller
// advances it. Use:
//   EngineModel e = makeEngine(spec, start);
//   submit(e, {.Id = 1, .PromptTokens = 500, .OutputTokens = 100}, now);
//   EngineOutput out;
//   advance(e, now + 50ms, rng, out);
// Each step generates one token for every stream that has its prompt read, and reads a part of the
// prompts that are waiting; its duration grows with the number of streams.
#ifndef CHERVIL_TESTING_ENGINEMODEL_H
#define CHERVIL_TESTING_ENGINEMODEL_H

#include "base/Random.h"
#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace chervil::testing {

struct EngineSpec {
  std::uint32_t Slots = 16;
  /// Time per token of a lone stream, and its relative growth with each stream.
  Duration TokenTime = std::chrono::milliseconds(20);
  double BatchGrowth = 0.02;
  /// Prompt tokens per second, and the most that one step reads.
  double PrefillRate = 16000;
  std::uint32_t PrefillChunk = 256;
  /// Size of the prefix cache, and prompt tokens per block.
  std::uint32_t CacheBlocks = 2000;
  std::uint32_t BlockTokens = 64;
  /// Load reports are taken with this period and delivered after the lag.
  Duration ReportEvery = std::chrono::milliseconds(500);
  Duration ReportLag = std::chrono::milliseconds(500);
  /// Cache events are delivered after the lag; this share is lost.
  Duration CacheLag = std::chrono::milliseconds(500);
  double CacheLoss = 0.01;
};

struct EngineWork {
  std::uint64_t Id = 0;
  /// 0 goes first.
  std::uint8_t Priority = 0;
  /// Chained hashes of the whole blocks of the prompt.
  std::vector<std::uint64_t> PrefixHashes = {};
  std::uint32_t PromptTokens = 0;
  std::uint32_t OutputTokens = 1;
  /// Tokens generated elsewhere before. Without KV they are read like a prompt.
  std::uint32_t Generated = 0;
  /// True if the KV cache of prompt and generated tokens was imported.
  bool HasKv = false;
};

struct EngineEvent {
  enum class Kind : std::uint8_t { FirstToken, Token, Finished };
  Kind What = Kind::Token;
  std::uint64_t Id = 0;
  TimePoint At{};
  /// Prompt tokens found in the prefix cache; with FirstToken.
  std::uint32_t CachedTokens = 0;
};

struct EngineReport {
  TimePoint Taken{};
  TimePoint Delivered{};
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

struct EngineCacheEvent {
  std::uint64_t Seq = 0;
  TimePoint Delivered{};
  std::vector<std::uint64_t> Added;
  std::vector<std::uint64_t> Removed;
};

struct EngineOutput {
  std::vector<EngineEvent> Events;
  std::vector<EngineReport> Reports;
  std::vector<EngineCacheEvent> CacheEvents;
};

struct EngineStream {
  EngineWork Work;
  std::uint64_t Order = 0;
  /// Prompt tokens still to read.
  std::uint32_t Prefill = 0;
  std::uint32_t Cached = 0;
  std::uint32_t Done = 0;
  bool Started = false;
  /// Part of the step that runs now.
  std::uint32_t Reading = 0;
  bool Decoding = false;
};

struct EngineModel {
  EngineSpec Spec;
  TimePoint Clock{};
  /// All durations are multiplied by it.
  double SlowFactor = 1;
  std::vector<EngineStream> Queue;
  std::vector<EngineStream> Running;
  std::uint64_t NextOrder = 0;
  /// End of the step that runs now.
  std::optional<TimePoint> StepEnd;
  TimePoint NextReport{};
  std::deque<EngineReport> Reports;
  std::deque<EngineCacheEvent> CacheEvents;
  std::uint64_t CacheSeq = 0;
  /// Cached blocks, most recently used first.
  std::list<std::uint64_t> Recent;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> Cache;
  /// Totals since the start.
  std::uint64_t TokensGenerated = 0;
  std::uint64_t PromptTokensRead = 0;
};

EngineModel makeEngine(const EngineSpec &spec, TimePoint start);

/// `now` must not lie before the time the engine was advanced to.
void submit(EngineModel &engine, EngineWork work, TimePoint now);
/// False if the work is unknown or has ended.
bool cancel(EngineModel &engine, std::uint64_t id);
/// Removes a stream and returns it with its KV; nothing if it has no token yet.
std::optional<EngineWork> exportKv(EngineModel &engine, std::uint64_t id);

/// Runs until `to` and appends what happened and what is delivered by then.
void advance(EngineModel &engine, TimePoint to, Random &rng, EngineOutput &out);
/// When advance() will next have something to do.
TimePoint nextTime(const EngineModel &engine);

/// Content of the prefix cache and the number of the last cache event, for a snapshot after a gap.
EngineCacheEvent cacheSnapshot(const EngineModel &engine);

} // namespace chervil::testing

#endif
