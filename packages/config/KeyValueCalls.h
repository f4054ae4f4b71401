// Calls to the key-value service, which the caller performs, and their answers.
#ifndef CHERVIL_CONFIG_KEYVALUECALLS_H
#define CHERVIL_CONFIG_KEYVALUECALLS_H

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace chervil::config {

/// Reads one key.
struct ReadKey {
  std::string Key;
  /// Number of the call, repeated in the answer.
  std::uint64_t Call = 0;
  /// Time to wait before sending the call.
  Duration Delay{0};
};

/// Writes one key if it still has a given revision.
struct CompareAndSwap {
  std::string Key;
  /// Revision the key must have; 0 if the key must be absent.
  std::uint64_t Revision = 0;
  std::string Body;
  /// As in ReadKey.
  std::uint64_t Call = 0;
  Duration Delay{0};
};

enum class ReadStatus : std::uint8_t {
  Found,
  Absent,
  /// No usable answer, for any reason.
  Unavailable,
};

/// Answer to ReadKey. Revision and Body are set only if Status is Found.
struct ReadAnswer {
  std::uint64_t Call = 0;
  ReadStatus Status = ReadStatus::Unavailable;
  std::uint64_t Revision = 0;
  std::string Body;
};

enum class WriteStatus : std::uint8_t {
  Ok,
  /// The key had another revision. This call did not write.
  Conflict,
  /// The connection failed or the answer was not valid. The write may have taken effect or may do
  /// so later.
  Lost,
  /// No answer in time. The write may have taken effect or may do so later.
  Timeout,
};

/// Answer to CompareAndSwap.
struct WriteAnswer {
  std::uint64_t Call = 0;
  WriteStatus Status = WriteStatus::Lost;
};

using KeyValueAnswer = std::variant<ReadAnswer, WriteAnswer>;

} // namespace chervil::config

#endif
