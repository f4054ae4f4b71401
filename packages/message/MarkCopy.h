// A mark: the compact form of the record of a non-repeatable request, kept for the retry horizon.
#ifndef CHERVIL_MESSAGE_MARKCOPY_H
#define CHERVIL_MESSAGE_MARKCOPY_H

#include "message/RecordState.h"

#include <chrono>
#include <cstdint>

namespace chervil::message {

struct MarkCopy {
  /// Two independent hashes that identify the request key.
  std::uint64_t KeyHash = 0;
  std::uint64_t KeyCheck = 0;
  std::uint64_t BodyHash = 0;
  std::uint32_t Attempt = 0;
  std::uint32_t Run = 0;
  RecordState State = RecordState::Unknown;
  /// Time since the record last changed.
  std::chrono::milliseconds Age{0};
};

} // namespace chervil::message

#endif
