// Several links of one process and their control port (docs/platform.md, section 7). Use:
//   auto links = startLinks(loop, {{"a-b", 8001, "127.0.0.1:9001", 2ms}}, 8000);
#ifndef CHERVIL_TESTING_STANDIN_LINKSERVER_H
#define CHERVIL_TESTING_STANDIN_LINKSERVER_H

#include "net/HttpServer.h"
#include "testing/standin/Link.h"

#include <memory>
#include <vector>

namespace chervil::standin {

struct LinkServer {
  explicit LinkServer(net::Loop &loop) : Timers(loop) {}

  net::TimerService Timers;
  std::vector<LinkPtr> Links;
  net::HttpServerPtr Http;
};

/// The loop must outlive the server.
Result<std::unique_ptr<LinkServer>> startLinks(net::Loop &loop, std::vector<LinkOptions> routes,
                                               std::uint16_t controlPort);

} // namespace chervil::standin

#endif
