#include "fleet/Migration.h"

#include <algorithm>

namespace chervil::fleet {
namespace {

double secondsOf(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration fromSeconds(double s) { return Duration(static_cast<Duration::rep>(s * 1e6)); }

} // namespace

std::vector<MigrationStep> planMigration(std::span<const LeavingStream> streams, Duration timeLeft,
                                         const MigrationRates &rates) {
  std::vector<LeavingStream> ordered(streams.begin(), streams.end());
  std::ranges::stable_sort(ordered, [](const LeavingStream &a, const LeavingStream &b) {
    return a.Deadline != b.Deadline ? a.Deadline < b.Deadline
                                    : a.RemainingTokens > b.RemainingTokens;
  });
  const double usableSeconds = secondsOf(std::max(timeLeft, Duration{0})) * rates.SafetyFactor;
  // Exports share the bandwidth, so running them one after another completes the first ones
  // earliest.
  double exportFreeSeconds = 0;
  std::vector<MigrationStep> plan;
  plan.reserve(ordered.size());
  for (const LeavingStream &s : ordered) {
    MigrationStep step;
    step.Id = s.Id;
    if (s.RemainingTokens * secondsOf(rates.TokenTime) <= usableSeconds) {
      step.Kind = MigrationKind::FinishInPlace;
      plan.push_back(step);
      continue;
    }
    const double prefillSeconds =
        std::max(0.0, s.ContextTokens - s.CachedTokens) / rates.PrefillRate;
    const double exportSeconds =
        rates.ExportBytesPerSecond > 0
            ? secondsOf(rates.ExportOverhead) + s.KvBytes / rates.ExportBytesPerSecond
            : 0;
    // The stream continues on this engine while it waits for its export, so only the duration of
    // the export is compared.
    if (rates.ExportBytesPerSecond > 0 && exportSeconds < prefillSeconds &&
        exportFreeSeconds + exportSeconds <= usableSeconds) {
      step.Kind = MigrationKind::ExportKv;
      step.Start = fromSeconds(exportFreeSeconds);
      exportFreeSeconds += exportSeconds;
      step.Ready = fromSeconds(exportFreeSeconds);
    } else {
      step.Kind = MigrationKind::ContinueFromTokens;
      step.Ready = fromSeconds(prefillSeconds);
    }
    plan.push_back(step);
  }
  return plan;
}

} // namespace chervil::fleet
