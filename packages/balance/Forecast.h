// The expected wait at a server whose load is known from reports that have aged. Use:
//   const Outlook outlook = makeOutlook(age, tokensPerMs, othersPerSecond);
//   double wait = expectedWait(load);
// Loads are in prompt tokens; waits in tokens of an average server, that is time in units of its
// time per token.
#ifndef CHERVIL_BALANCE_FORECAST_H
#define CHERVIL_BALANCE_FORECAST_H

#include "balance/Speed.h"
#include "base/Time.h"

#include <cstddef>
#include <optional>

namespace chervil::balance {

/// What a node knows about the load of one server.
struct ServerLoad {
  /// Tokens queued by this node, which is known exactly.
  double OwnTokens = 0;
  /// Tokens queued by all other nodes, as they reported or as extrapolateOthers() expects.
  double OtherTokens = 0;
  SpeedEstimate Speed;
};

/// What happened at the servers of a service since the other nodes reported, as far as expected.
struct Outlook {
  /// Tokens that an average server reads in this time; 0 if unknown or if there are no other nodes.
  double ReadSinceReports = 0;
  /// Tokens that the other nodes send to all servers of the service in this time.
  double SentSinceReports = 0;
};

/// Reports that are older are treated as if they had this age: the servers have long been filled
/// and emptied again, so that more time adds no error.
inline constexpr Duration MaxReportAge = std::chrono::seconds(5);

/// Returns the outlook at a mean age of the reports. `tokensPerMs` is the speed of an average
/// server, empty if unknown; `othersPerSecond` what all other nodes send.
Outlook makeOutlook(Duration reportAge, std::optional<double> tokensPerMs, double othersPerSecond);

/// Returns the tokens that the other nodes have queued at a server, judged by those of this node,
/// if no report is left.
double extrapolateOthers(double ownTokens, std::size_t otherNodes);

/// Returns the expected wait of a request at the server.
double expectedWait(const ServerLoad &load);

/// Returns the part of a server's queue that is known exactly, 0 to 1, for a request with `toRead`
/// tokens of its own. It is the weight of the request's time to the first byte as a sample of the
/// server's speed.
double certainPart(const ServerLoad &load, double toRead);

} // namespace chervil::balance

#endif
