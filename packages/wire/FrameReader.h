// Splits a byte stream into frames: a 4-byte big-endian length, then the payload. Use:
//   FrameReader reader;
//   feed(reader, bytes);
//   for (;;) {
//     Result<std::optional<std::string_view>> payload = takeFrame(reader);
//     if (!payload || !*payload) break;   // error: close the connection; nullopt: wait
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

/// State of the reading side of one connection.
struct FrameReader {
  /// Maximum payload size accepted, in bytes; may be changed between frames.
  std::size_t Limit = MaxPayloadSize;
  /// Received bytes.
  std::string Buffer;
  /// Number of bytes at the front of Buffer that belong to frames already returned.
  std::size_t Consumed = 0;
};

/// Appends received bytes and discards the bytes of frames already returned.
void feed(FrameReader &reader, std::string_view bytes);

/// Returns the next complete payload, or nullopt if more bytes are needed. The view refers to
/// reader.Buffer and is valid until the next call. Fails with PeerTooLarge as soon as a declared
/// length exceeds the limit, and again on every later call, because the position of the next frame
/// is then unknown.
Result<std::optional<std::string_view>> takeFrame(FrameReader &reader);

/// Returns true if the buffer holds bytes that have not been returned as part of a frame.
bool hasPartialFrame(const FrameReader &reader);

} // namespace chervil::wire

#endif
