// The application engine stand-in. Use:
//   auto engine = startService(loop, {.Port = 9201, .Name = "despacho"});
// docs/platform.md, section 6, states the calls it answers. Runs on the loop's thread.
#ifndef CHERVIL_TESTING_STANDIN_SERVICESERVER_H
#define CHERVIL_TESTING_STANDIN_SERVICESERVER_H

#include "base/Error.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/TimerService.h"
#include "testing/standin/Executions.h"
#include "testing/standin/LoadHistory.h"
#include "testing/standin/Registration.h"

#include <memory>
#include <string>

namespace chervil::standin {

struct ServiceOptions {
  std::string Address = "127.0.0.1";
  std::uint16_t Port = 0;
  std::string Name = "despacho";
  Duration Latency{2000};
  unsigned Slots = 64;
  Duration ReportLag{500000};
  std::string ExecutionsFile;
  Registration Register;
};

enum class ServiceFault : std::uint8_t { None, DieBefore, DieAfter, DropBefore, DropAfter };

struct ServiceServer {
  explicit ServiceServer(net::Loop &loop) : Timers(loop) {}

  ServiceOptions Options;
  net::TimerService Timers;
  net::HttpServerPtr Http;
  net::HttpClientPtr Client;
  Executions Done;
  LoadHistory Load;
  std::size_t Open = 0;
  ServiceFault Fault = ServiceFault::None;
  std::uint64_t FaultsLeft = 0;
};

/// The loop must outlive the server.
Result<std::unique_ptr<ServiceServer>> startService(net::Loop &loop, ServiceOptions options);

} // namespace chervil::standin

#endif
