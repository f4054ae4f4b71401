// Spread to all nodes: back ends died while running work with this content.
#ifndef CHERVIL_MESSAGE_CRASHREPORT_H
#define CHERVIL_MESSAGE_CRASHREPORT_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct CrashReport {
  std::uint64_t ContentHash = 0;
  /// Names of the back ends that died, each counted once.
  std::vector<std::string> Backends;
  /// Remaining lifetime of the suspicion or quarantine.
  std::chrono::milliseconds Lifetime{0};
  /// The content ran as a suspect, apart from other work, when the back ends died.
  bool Alone = false;
};

} // namespace chervil::message

#endif
