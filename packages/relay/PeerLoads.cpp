#include "relay/PeerLoads.h"

namespace chervil::relay {
namespace {

/// Adds the work of a report to the totals, or removes it with `sign` -1. The numbers are whole, so
/// that the sums are exact.
void addToTotals(PeerLoads &loads, const message::BackendLoads &report, std::int64_t sign) {
  for (const message::BackendLoad &load : report.Loads) {
    const auto it = loads.Totals.try_emplace(load.Backend).first;
    it->second.Running += double(sign) * load.Running;
    it->second.PendingTokens += double(sign) * load.PendingTokens;
    it->second.SpeedFactors += sign * load.SpeedWeight * load.SpeedFactor;
    it->second.SpeedWeights += sign * load.SpeedWeight;
    if (it->second.Running == 0 && it->second.PendingTokens == 0 && it->second.SpeedWeights == 0)
      loads.Totals.erase(it);
  }
  for (const message::ServiceDemand &it : report.Demands) {
    std::int64_t &demand = loads.Demands[it.Service];
    demand += sign * std::int64_t{it.TokensPerSecond};
    if (demand == 0)
      loads.Demands.erase(it.Service);
  }
}

/// Takes a report out of the sums.
void subtract(PeerLoads &loads, const PeerReport &report) {
  addToTotals(loads, report.Loads, -1);
  loads.ArrivalSum -= report.At - loads.FirstAt;
}

} // namespace

void removeExpired(PeerLoads &loads, const Now &now) {
  if (now.Steady - loads.ExpiredAt < PeerReportSweepPeriod)
    return;
  loads.ExpiredAt = now.Steady;
  for (auto it = loads.Reports.begin(); it != loads.Reports.end();) {
    if (now.Steady - it->second.At <= PeerReportLifetime) {
      ++it;
      continue;
    }
    subtract(loads, it->second);
    it = loads.Reports.erase(it);
  }
}

void applyReport(PeerLoads &loads, const std::string &node, const message::BackendLoads &report,
                 const Now &now) {
  if (loads.FirstAt == TimePoint{})
    loads.FirstAt = now.Steady;
  const auto [known, isNew] = loads.Reports.try_emplace(node);
  if (!isNew)
    subtract(loads, known->second);
  known->second = {now.Steady, report};
  addToTotals(loads, report, 1);
  loads.ArrivalSum += now.Steady - loads.FirstAt;
  loads.LastAt = now.Steady;
  removeExpired(loads, now);
}

Duration reportAge(const PeerLoads &loads, const Now &now) {
  if (loads.Reports.empty())
    return now.Steady - loads.LastAt;
  return now.Steady - loads.FirstAt - loads.ArrivalSum / std::int64_t(loads.Reports.size());
}

PeerWork workOn(const PeerLoads &loads, const std::string &server) {
  const auto it = loads.Totals.find(server);
  return it == loads.Totals.end() ? PeerWork{} : it->second;
}

} // namespace chervil::relay
