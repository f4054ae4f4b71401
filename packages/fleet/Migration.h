// Plans the migration of the streams of a leaving engine (section 4.5 of docs/design.md). Usage:
//   for (const MigrationStep &step : planMigration(streams, left, rates)) ...
#ifndef CHERVIL_FLEET_MIGRATION_H
#define CHERVIL_FLEET_MIGRATION_H

#include "base/Time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace chervil::fleet {

/// A stream on the leaving engine.
struct LeavingStream {
  std::uint64_t Id = 0;
  /// Predicted number of tokens still to be generated.
  double RemainingTokens = 0;
  /// Tokens of the prompt and generated so far, which another engine would have to prefill.
  double ContextTokens = 0;
  /// Number of context tokens that another engine has in its prefix cache.
  double CachedTokens = 0;
  /// Size of the KV cache of the stream.
  double KvBytes = 0;
  /// When the caller needs the answer.
  TimePoint Deadline = TimePoint::max();
};

/// Rates of the leaving engine and of the other engines.
struct MigrationRates {
  /// Time per generated token on the leaving engine.
  Duration TokenTime = std::chrono::milliseconds(25);
  /// Bandwidth of KV cache exports of the leaving engine, shared by its streams; 0 if it cannot
  /// export.
  double ExportBytesPerSecond = 0;
  /// Fixed time per export and import.
  Duration ExportOverhead = std::chrono::milliseconds(50);
  /// Prefill rate of the other engines for one stream, in tokens per second.
  double PrefillRate = 16000;
  /// Fraction of the time until the end of the VM that is planned, since predictions and bandwidth
  /// vary.
  double SafetyFactor = 0.8;
};

/// What to do with a stream: let it finish on the leaving engine, export its KV cache, or continue
/// it on another engine, which prefills the tokens.
enum class MigrationKind : std::uint8_t { FinishInPlace, ExportKv, ContinueFromTokens };

/// Planned migration of one stream.
struct MigrationStep {
  std::uint64_t Id = 0;
  MigrationKind Kind = MigrationKind::ContinueFromTokens;
  /// Start of the step, and when the other engine can continue, both relative to now. Zero for
  /// FinishInPlace.
  Duration Start{0};
  Duration Ready{0};
};

/// Returns one step per stream in the order in which to execute them, which is by the deadlines of
/// the callers. `timeLeft` is the time until the VM ends.
std::vector<MigrationStep> planMigration(std::span<const LeavingStream> streams, Duration timeLeft,
                                         const MigrationRates &rates);

} // namespace chervil::fleet

#endif
