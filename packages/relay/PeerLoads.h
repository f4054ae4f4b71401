// The work of the other nodes on the backend servers, from their load reports. Use:
//   applyReport(loads, node, report, now);
//   const PeerWork work = workOn(loads, server);
// Totals are kept up to date with each report, because a node of a large fleet gets hundreds of
// reports a second.
#ifndef CHERVIL_RELAY_PEERLOADS_H
#define CHERVIL_RELAY_PEERLOADS_H

#include "base/Time.h"
#include "message/BackendLoads.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace chervil::relay {

/// Work on one server: running requests, and prompt tokens that it has still to read.
struct PeerWork {
  double Running = 0;
  double PendingTokens = 0;
  /// Evidence of its speed; see balance::EncodedSpeed. The sum of the factors is weighted.
  std::int64_t SpeedFactors = 0;
  std::int64_t SpeedWeights = 0;
};

/// The latest report of a node and when it arrived.
struct PeerReport {
  TimePoint At{};
  message::BackendLoads Loads;
};

struct PeerLoads {
  /// By node.
  std::map<std::string, PeerReport> Reports;
  /// Sums of all reports by server; no entry for a server without work.
  std::unordered_map<std::string, PeerWork> Totals;
  /// Sums of all reports by service, in prompt tokens per second.
  std::map<std::string, std::int64_t> Demands;
  /// Sum of the times at which the reports arrived, relative to FirstAt.
  Duration ArrivalSum{};
  /// When the first and the last report arrived.
  TimePoint FirstAt{};
  TimePoint LastAt{};
  TimePoint ExpiredAt{};
};

/// A report expires after this time.
inline constexpr Duration PeerReportLifetime = std::chrono::seconds(1);
/// Expired reports are removed this often.
inline constexpr Duration PeerReportSweepPeriod = std::chrono::milliseconds(100);

/// Replaces the report of a node, and removes expired reports once per PeerReportSweepPeriod.
void applyReport(PeerLoads &loads, const std::string &node, const message::BackendLoads &report,
                 const Now &now);

/// Removes expired reports; call it regularly, because it may be that no more reports arrive.
void removeExpired(PeerLoads &loads, const Now &now);

/// Returns the mean age of the reports, or the time since the last one if none is left.
Duration reportAge(const PeerLoads &loads, const Now &now);

/// Returns the work of all nodes with a report on a server.
PeerWork workOn(const PeerLoads &loads, const std::string &server);

} // namespace chervil::relay

#endif
