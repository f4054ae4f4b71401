// Calls to the key-value service as effects, and their answers as events.
#ifndef CHERVIL_CONFIG_KEYVALUECALLS_H
#define CHERVIL_CONFIG_KEYVALUECALLS_H

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <variant>

namespace chervil::config {

struct ReadKey {
  std::string Key;
  /// Repeated in the answer.
  std::uint64_t Call = 0;
  /// Time to wait before the call is sent.
  Duration Delay{0};
};

struct CompareAndSwap {
  std::string Key;
  /// Revision the key must have; 0 for an absent key.
  std::uint64_t Revision = 0;
  std::string Body;
  std::uint64_t Call = 0;
  Duration Delay{0};
};

enum class ReadStatus : std::uint8_t {
  Found,
  Absent,
  /// No answer, for whatever reason.
  Unavailable,
};

struct ReadAnswer {
  std::uint64_t Call = 0;
  ReadStatus Status = ReadStatus::Unavailable;
  std::uint64_t Revision = 0;
  std::string Body;
};

enum class WriteStatus : std::uint8_t {
  Ok,
  /// The key had another revision; this call did not write.
  Conflict,
  /// The connection failed or the answer was not understood; the write may take effect, even later.
  Lost,
  /// No answer in time; the write may take effect, even later.
  Timeout,
};

struct WriteAnswer {
  std::uint64_t Call = 0;
  WriteStatus Status = WriteStatus::Lost;
};

using KeyValueAnswer = std::variant<ReadAnswer, WriteAnswer>;

} // namespace chervil::config

#endif
