// What happens to the streams of an engine that is leaving (section 4.5). Use:
//   for (const MigrationStep &step : planMigration(streams, left, rates)) ...
#ifndef CHERVIL_FLEET_MIGRATION_H
#define CHERVIL_FLEET_MIGRATION_H

#include "base/Time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace chervil::fleet {

struct LeavingStream {
  std::uint64_t Id = 0;
  /// Predicted tokens still to come.
  double RemainingTokens = 0;
  /// Prompt and tokens so far: what another engine would have to read.
  double ContextTokens = 0;
  /// Part of the context that another engine has in its prefix cache.
  double CachedTokens = 0;
  double KvBytes = 0;
  /// When the caller needs the answer.
  TimePoint Deadline = TimePoint::max();
};

struct MigrationRates {
  /// Time per token on the leaving engine.
  Duration TokenTime = std::chrono::milliseconds(25);
  /// Export bandwidth of the leaving engine, shared by its streams; 0 if it cannot export.
  double ExportBytesPerSecond = 0;
  /// Fixed time of one export and import.
  Duration ExportOverhead = std::chrono::milliseconds(50);
  /// Prompt tokens per second of the other engines for one stream.
  double PrefillRate = 16000;
  /// Share of the time to the VM's end that is planned: predictions and bandwidth vary.
  double SafetyFactor = 0.8;
};

enum class MigrationKind : std::uint8_t { FinishInPlace, ExportKv, ContinueFromTokens };

struct MigrationStep {
  std::uint64_t Id = 0;
  MigrationKind Kind = MigrationKind::ContinueFromTokens;
  /// When the step starts and when the other engine can go on, from now.
  Duration Start{0};
  Duration Ready{0};
};

/// Steps in the order in which to take them: by the callers' deadlines. `left` is the time until
/// the VM ends.
std::vector<MigrationStep> planMigration(std::span<const LeavingStream> streams, Duration left,
                                         const MigrationRates &rates);

} // namespace chervil::fleet

#endif
