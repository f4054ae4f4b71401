// Announces the newest configuration of the operators that the sender knows. Sent to all other
// nodes by a node that has learned it from the platform's store.
#ifndef CHERVIL_MESSAGE_CONFIGURATIONSTATUS_H
#define CHERVIL_MESSAGE_CONFIGURATIONSTATUS_H

#include <chrono>
#include <cstdint>

namespace chervil::message {

struct ConfigurationStatus {
  std::uint64_t Version = 0;
  /// Time since the store confirmed that this version is the newest.
  std::chrono::milliseconds Age{0};
};

} // namespace chervil::message

#endif
