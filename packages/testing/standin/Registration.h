// Registers a stand-in with the platform stand-in, which then lists it as a VM. Use:
//   registerWith(client, timers, {.Platform = "http://127.0.0.1:7000", .It = vm});
#ifndef CHERVIL_TESTING_STANDIN_REGISTRATION_H
#define CHERVIL_TESTING_STANDIN_REGISTRATION_H

#include "net/HttpClient.h"
#include "net/TimerService.h"
#include "testing/standin/Vm.h"

#include <string>

namespace chervil::standin {

struct Registration {
  /// Base URL; nothing is registered when empty.
  std::string Platform;
  Vm It;
  /// The VM waits for a grant of the cloud API.
  bool Waiting = false;
};

/// Repeats the call until the platform accepts it.
void registerWith(net::HttpClient &client, net::TimerService &timers, Registration registration);

} // namespace chervil::standin

#endif
