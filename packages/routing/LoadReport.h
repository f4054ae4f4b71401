// Load of an engine as the platform reports it, late.
#ifndef CHERVIL_ROUTING_LOADREPORT_H
#define CHERVIL_ROUTING_LOADREPORT_H

#include "base/Time.h"

#include <cstdint>
#include <string>

namespace chervil::routing {

struct LoadReport {
  std::string Backend;
  /// Time since the engine took the figures.
  Duration Age{0};
  std::uint32_t Running = 0;
  std::uint32_t Queued = 0;
};

} // namespace chervil::routing

#endif
