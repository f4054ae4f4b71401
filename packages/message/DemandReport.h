// From a node to a limit home: the demand of the node's callers, by customer.
#ifndef CHERVIL_MESSAGE_DEMANDREPORT_H
#define CHERVIL_MESSAGE_DEMANDREPORT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

/// Demand for one customer.
struct Demand {
  std::string Customer;
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  /// Number of concurrent streams.
  std::uint32_t Streams = 0;
};

struct DemandReport {
  std::vector<Demand> Demands;
};

} // namespace chervil::message

#endif
