// Splits a byte stream into frames: a 4-byte big-endian length, then the payload. Use:
//   FrameReader reader;
//   feed(reader, bytes);
//   for (;;) {
//     Result<std::optional<std::string_view>> payload = takeFrame(reader);
//     if (!payload || !*payload) break;   // error: cut the connection; nothing: wait for bytes
//     Result<message::Message> m = decode(**payload);
//   }
#ifndef CHERVIL_WIRE_FRAMEREADER_H
#define CHERVIL_WIRE_FRAMEREADER_H

#include "base/Error.h"
#include "wire/Codec.h"

#include <optional>
#include <string>
#include <string_view>

namespace chervil::wire {

struct FrameReader {
  /// Largest payload accepted; may be changed between frames.
  std::size_t Limit = MaxPayloadSize;
  std::string Buffer;
  /// Bytes at the front of Buffer that belong to frames already taken.
  std::size_t Consumed = 0;
};

/// Appends received bytes.
void feed(FrameReader &reader, std::string_view bytes);

/// The next whole payload, valid until the next call; nothing if more bytes are needed. Fails
/// with PeerTooLarge as soon as a declared length exceeds the limit, and again on every later call,
/// because the position of the next frame is then unknown.
Result<std::optional<std::string_view>> takeFrame(FrameReader &reader);

/// True if part of a frame has arrived.
bool hasPartialFrame(const FrameReader &reader);

} // namespace chervil::wire

#endif
