// Options of request handling on one node.
#ifndef CHERVIL_RELAY_OPTIONS_H
#define CHERVIL_RELAY_OPTIONS_H

#include "base/Time.h"

#include <chrono>
#include <string>

namespace chervil::relay {

struct Options {
  std::string Node;
  std::string DataCentre;
  /// Repeats per first send to a service, over all nodes, that the operators allow.
  double RetryRatio = 0.2;
  /// Repeats per window that are allowed however few requests there are, over all nodes.
  double RetrySlack = 50;
  std::chrono::milliseconds RetryWindow{10000};
};

} // namespace chervil::relay

#endif
