#include "relay/PeerLoads.h"

namespace chervil::relay {
namespace {

/// Adds the work of a report to the totals, or removes it with `sign` -1. The numbers are whole, so
/// that the sums are exact.
void addToTotals(PeerLoads &loads, const message::BackendLoads &report, double sign) {
  for (const message::BackendLoad &load : report.Loads) {
    const auto it = loads.Totals.try_emplace(load.Backend).first;
    it->second.Running += sign * load.Running;
    it->second.PendingTokens += sign * load.PendingTokens;
    if (it->second.Running == 0 && it->second.PendingTokens == 0)
      loads.Totals.erase(it);
  }
}

void removeExpired(PeerLoads &loads, const Now &now) {
  if (now.Steady - loads.ExpiredAt < PeerReportSweepPeriod)
    return;
  loads.ExpiredAt = now.Steady;
  for (auto it = loads.Reports.begin(); it != loads.Reports.end();) {
    if (now.Steady - it->second.At <= PeerReportLifetime) {
      ++it;
      continue;
    }
    addToTotals(loads, it->second.Loads, -1);
    it = loads.Reports.erase(it);
  }
}

} // namespace

void applyReport(PeerLoads &loads, const std::string &node, const message::BackendLoads &report,
                 const Now &now) {
  PeerReport &it = loads.Reports[node];
  addToTotals(loads, it.Loads, -1);
  it = {now.Steady, report};
  addToTotals(loads, report, 1);
  removeExpired(loads, now);
}

PeerWork workOn(const PeerLoads &loads, const std::string &server) {
  const auto it = loads.Totals.find(server);
  return it == loads.Totals.end() ? PeerWork{} : it->second;
}

} // namespace chervil::relay
