// Load figures of an engine as it reports them: late. Use:
//   addSample(history, figures, now);
//   LoadSample s = reported(history, now);   // s.At says how old
#ifndef CHERVIL_TESTING_STANDIN_LOADHISTORY_H
#define CHERVIL_TESTING_STANDIN_LOADHISTORY_H

#include "base/Time.h"

#include <cstdint>
#include <deque>
#include <string>

namespace chervil::standin {

struct LoadFigures {
  std::size_t Running = 0;
  std::size_t Queued = 0;
  std::size_t Slots = 0;
  std::uint64_t QueuedTokens = 0;
  std::uint64_t PrefillTokens = 0;
  double TokensPerSecond = 0;
  std::uint64_t CacheTokens = 0;
};

struct LoadSample {
  TimePoint At;
  LoadFigures Figures;
};

struct LoadHistory {
  Duration Lag{0};
  /// Oldest first.
  std::deque<LoadSample> Samples;
};

inline void addSample(LoadHistory &history, const LoadFigures &figures, TimePoint now) {
  history.Samples.push_back({now, figures});
  // Keeps one sample that is old enough to be reported.
  while (history.Samples.size() > 1 && history.Samples[1].At <= now - history.Lag)
    history.Samples.pop_front();
}

/// The newest sample that is at least Lag old; the oldest one before there is such a sample.
inline LoadSample reported(const LoadHistory &history, TimePoint now) {
  LoadSample found{now, {}};
  if (!history.Samples.empty())
    found = history.Samples.front();
  for (const LoadSample &it : history.Samples)
    if (it.At <= now - history.Lag)
      found = it;
  return found;
}

/// Value of the header X-Engine-Load.
inline std::string loadHeader(const LoadSample &sample, TimePoint now) {
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - sample.At);
  return "running=" + std::to_string(sample.Figures.Running) +
         ";queued=" + std::to_string(sample.Figures.Queued) +
         ";slots=" + std::to_string(sample.Figures.Slots) +
         ";age_ms=" + std::to_string(age.count());
}

} // namespace chervil::standin

#endif
