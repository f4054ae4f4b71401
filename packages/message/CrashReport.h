// Distributed to all nodes by gossip: back ends died while they ran requests with this content.
#ifndef CHERVIL_MESSAGE_CRASHREPORT_H
#define CHERVIL_MESSAGE_CRASHREPORT_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chervil::message {

struct CrashReport {
  /// Hash of the request's content (see RecordCopy::BodyHash).
  std::uint64_t ContentHash = 0;
  /// Names of the back ends that died, each listed once.
  std::vector<std::string> Backends;
  /// Remaining lifetime of the suspicion or quarantine.
  std::chrono::milliseconds Lifetime{0};
  /// True if the content ran as a suspect, isolated from other requests, when the back ends died.
  bool Alone = false;
  /// True if the content was answered instead: this ends the suspicion from crashes that were
  /// before the request was sent. Backends is empty, and Lifetime is that of a crash at this
  /// moment.
  bool Answered = false;
  /// Events of the answer, over all sends of the request, when the back ends died. With Answered:
  /// the answer was not complete but went on beyond the point at which this number had arrived; 0
  /// if it was complete.
  std::uint32_t Events = 0;
  /// No earlier crash under the content was known when the request was sent: a crash at the same
  /// moment may have the same cause.
  bool Concurrent = false;
};

} // namespace chervil::message

#endif
