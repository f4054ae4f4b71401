// The load of an engine as reported by the platform, with a delay.
#ifndef CHERVIL_ROUTING_LOADREPORT_H
#define CHERVIL_ROUTING_LOADREPORT_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace chervil::routing {

struct LoadReport {
  /// Name of the back end.
  std::string Backend;
  /// Time since the engine measured the figures.
  Duration Age{0};
  /// Requests of all nodes that run, and that wait in the queue of the engine.
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

} // namespace chervil::routing

#endif
