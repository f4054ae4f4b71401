// Sends a workload as a good caller and checks every answer. Use:
//   net::Loop loop;
//   Result<Report> report = runLoad(loop, options);   // runs the loop until the run is over
#ifndef CHERVIL_CTL_LOAD_LOADRUN_H
#define CHERVIL_CTL_LOAD_LOADRUN_H

#include "base/Error.h"
#include "ctl/load/Report.h"
#include "ctl/load/Workload.h"
#include "net/Loop.h"

#include <string>
#include <vector>

namespace chervil::load {

struct LoadOptions {
  Workload Work;
  /// Where the entry list is asked for first, as ip:port.
  std::vector<std::string> Entry;
  /// Requests per second in an open loop; 0 for a closed loop.
  double Rate = 0;
  /// Callers of a closed loop.
  std::size_t Callers = 8;
  /// The first limit that is reached ends the sending; 0 for none.
  Duration Length{0};
  std::uint64_t MaxRequests = 0;
  /// After this time without an answer, a request is given up.
  Duration GiveUp{std::chrono::seconds(300)};
  /// A stream without a byte for this long counts as cut.
  std::chrono::seconds Idle{30};
  /// How long the first entry list is waited for.
  Duration EntryWait{std::chrono::seconds(30)};
  /// Base URLs of application engines whose executions are compared.
  std::vector<std::string> Verify;
  /// Wait before the comparison, in which delayed copies can still run.
  Duration Settle{std::chrono::seconds(2)};
  /// Engines that requests are sent to directly, in turn, as ip:port. Kinds without an engine are
  /// left out.
  std::vector<std::string> DirectModels;
  std::vector<std::string> DirectServices;
  std::uint64_t Seed = 1;
};

/// PlatformUnavailable if no entry list arrived, or a verification failed to read the executions.
Result<Report> runLoad(net::Loop &loop, LoadOptions options);

} // namespace chervil::load

#endif
