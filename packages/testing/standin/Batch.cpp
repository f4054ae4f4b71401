#include "testing/standin/Batch.h"

#include <algorithm>

namespace chervil::standin {

void enqueue(Batch &batch, const BatchWork &work) {
  batch.Queue.emplace(std::pair(work.Priority, batch.NextOrder++), work);
}

std::vector<std::uint64_t> admit(Batch &batch) {
  std::vector<std::uint64_t> ids;
  while (batch.Running.size() < batch.Slots && !batch.Queue.empty()) {
    const auto first = batch.Queue.begin();
    ids.push_back(first->second.Id);
    batch.Running.push_back(first->second);
    batch.Queue.erase(first);
  }
  return ids;
}

std::optional<Duration> planStep(Batch &batch, const BatchOptions &options) {
  std::uint32_t left = options.ChunkTokens;
  std::uint32_t prefill = 0;
  std::int64_t producing = 0;
  for (BatchWork &it : batch.Running) {
    it.InStep = 0;
    it.Producing = !it.Blocked && it.PrefillLeft == 0;
    if (it.Producing)
      ++producing;
    if (it.Blocked || it.PrefillLeft == 0)
      continue;
    it.InStep = std::min(left, it.PrefillLeft);
    left -= it.InStep;
    prefill += it.InStep;
  }
  if (producing == 0 && prefill == 0)
    return std::nullopt;
  const std::chrono::duration<double> compute(prefill / options.PrefillRate);
  const std::chrono::duration<double> length =
      options.StepBase + options.StepPerSequence * producing + compute;
  return std::chrono::duration_cast<Duration>(length * options.SlowFactor);
}

std::vector<BatchEvent> finishStep(Batch &batch) {
  std::vector<BatchEvent> events;
  for (BatchWork &it : batch.Running) {
    if (it.InStep > 0) {
      it.PrefillLeft -= it.InStep;
      it.InStep = 0;
      if (it.PrefillLeft == 0)
        events.push_back({BatchEventKind::Prefilled, it.Id, 0});
      continue;
    }
    if (!it.Producing)
      continue;
    if (it.Next < it.End)
      events.push_back({BatchEventKind::Token, it.Id, it.Next++});
    if (it.Next >= it.End)
      events.push_back({BatchEventKind::Done, it.Id, 0});
  }
  std::erase_if(batch.Running, [](const BatchWork &it) {
    return it.Producing && it.PrefillLeft == 0 && it.Next >= it.End;
  });
  return events;
}

void removeWork(Batch &batch, std::uint64_t id) {
  std::erase_if(batch.Queue, [&](const auto &it) { return it.second.Id == id; });
  std::erase_if(batch.Running, [&](const BatchWork &it) { return it.Id == id; });
}

BatchWork *findRunning(Batch &batch, std::uint64_t id) {
  const auto it = std::ranges::find(batch.Running, id, &BatchWork::Id);
  return it == batch.Running.end() ? nullptr : &*it;
}

} // namespace chervil::standin
