// Encodes and decodes messages between nodes. A message is a msgpack array [type, fields...] in a
// length-prefixed frame. Use:
//   std::string frame = encode(message::Ping{...});
//   Result<message::Message> m = decode(payload);   // payload: a frame without its length prefix
#ifndef CHERVIL_WIRE_CODEC_H
#define CHERVIL_WIRE_CODEC_H

#include "base/Error.h"
#include "message/Message.h"

#include <string>
#include <string_view>

namespace chervil::wire {

/// Maximum size of a frame's payload in bytes.
constexpr std::size_t MaxPayloadSize = 1 << 20;

/// Size in bytes of the big-endian length that precedes each payload.
constexpr std::size_t PrefixSize = 4;

/// Returns a frame with its length prefix. The caller checks the size: a payload above
/// MaxPayloadSize is encoded, but every receiver rejects it.
std::string encode(const message::Message &m);

/// Decodes one payload. Fields appended by newer versions, to the message or to a struct inside it,
/// are ignored. Fails with PeerBadFrame for malformed msgpack, trailing bytes, an unknown type
/// number, a field of the wrong type, a number that is not finite, or a time outside 0..2^50 ms.
/// Memory is bounded by a small multiple of the payload's size.
Result<message::Message> decode(std::string_view payload);

} // namespace chervil::wire

#endif
