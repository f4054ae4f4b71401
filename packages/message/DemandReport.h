// Node to limit home: what its callers ask for, by customer.
#ifndef CHERVIL_MESSAGE_DEMANDREPORT_H
#define CHERVIL_MESSAGE_DEMANDREPORT_H

#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct Demand {
  std::string Customer;
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  std::uint32_t Streams = 0;
};

struct DemandReport {
  std::vector<Demand> Demands;
};

} // namespace chervil::message

#endif
