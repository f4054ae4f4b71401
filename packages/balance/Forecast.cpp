#include "balance/Forecast.h"

#include <algorithm>
#include <chrono>

namespace chervil::balance {
namespace {

// A node's own requests are a small sample of those of all nodes. Counted in full, a single one
// would make its server look full.
constexpr double OwnSampleWeight = 0.5;

} // namespace

Outlook makeOutlook(Duration reportAge, std::optional<double> tokensPerMs, double othersPerSecond) {
  if (othersPerSecond <= 0)
    return {};
  const double ms =
      std::chrono::duration<double, std::milli>(std::clamp(reportAge, Duration{}, MaxReportAge))
          .count();
  return {ms * tokensPerMs.value_or(0), ms * othersPerSecond / 1000};
}

double extrapolateOthers(double ownTokens, std::size_t otherNodes) {
  return OwnSampleWeight * ownTokens * static_cast<double>(otherNodes);
}

double expectedWait(const ServerLoad &load) {
  return load.Speed.Factor * (load.OwnTokens + load.OtherTokens);
}

double certainPart(const ServerLoad &load, double toRead) {
  const double certain = load.OwnTokens + toRead;
  const double all = certain + load.OtherTokens;
  return all > 0 ? certain / all : 0;
}

} // namespace chervil::balance
