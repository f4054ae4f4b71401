// Continuous batching of an engine, in steps. Use:
//   enqueue(batch, work);
//   admit(batch);                               // moves work into free slots
//   Duration d = planStep(batch, options);      // wait that long, then:
//   for (const BatchEvent &e : finishStep(batch)) ...
// In a step, every request that is past its prefill produces one token, and up to
// options.ChunkTokens of prompt tokens are computed for the others.
#ifndef CHERVIL_TESTING_STANDIN_BATCH_H
#define CHERVIL_TESTING_STANDIN_BATCH_H

#include "base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace chervil::standin {

struct BatchOptions {
  std::size_t Slots = 16;
  std::size_t MaxQueue = 1000;
  /// Prompt tokens per second.
  double PrefillRate = 8000;
  std::uint32_t ChunkTokens = 512;
  /// A step takes StepBase + StepPerSequence times the requests that produce a token in it, plus
  /// its prefill.
  Duration StepBase{12000};
  Duration StepPerSequence{500};
  double SlowFactor = 1;
};

struct BatchWork {
  std::uint64_t Id = 0;
  /// 0 is most urgent.
  unsigned Priority = 1;
  std::uint32_t PrefillLeft = 0;
  /// Index of the next token and one past the last.
  std::uint32_t Next = 0;
  std::uint32_t End = 0;
  /// Holds a slot without progress, while its KV cache is fetched.
  bool Blocked = false;
  /// Prompt tokens computed in the step that runs.
  std::uint32_t InStep = 0;
  /// Whether it produces a token in the step that runs.
  bool Producing = false;
};

struct Batch {
  std::size_t Slots = 16;
  std::uint64_t NextOrder = 0;
  /// Ordered by priority, then by arrival.
  std::map<std::pair<unsigned, std::uint64_t>, BatchWork> Queue;
  std::vector<BatchWork> Running;
};

enum class BatchEventKind : std::uint8_t { Prefilled, Token, Done };

struct BatchEvent {
  BatchEventKind Kind = BatchEventKind::Token;
  std::uint64_t Id = 0;
  std::uint32_t Token = 0;
};

void enqueue(Batch &batch, const BatchWork &work);

/// Ids of the requests moved into free slots.
std::vector<std::uint64_t> admit(Batch &batch);

/// Length of the step that starts now; nothing if no request can proceed.
std::optional<Duration> planStep(Batch &batch, const BatchOptions &options);

/// Results of the step, in slot order; Done follows the last token of a request, which then has
/// left the batch.
std::vector<BatchEvent> finishStep(Batch &batch);

/// Removes a queued or running request.
void removeWork(Batch &batch, std::uint64_t id);

BatchWork *findRunning(Batch &batch, std::uint64_t id);

} // namespace chervil::standin

#endif
