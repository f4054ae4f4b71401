#include "wire/Codec.h"

#include "wire/Handshake.h"
#include "wire/detail/Pack.h"

#include <array>
#include <utility>

namespace chervil::wire {
namespace detail {
namespace {

// Maximum nesting depth of a payload. No message is nested this deeply; the slack allows for newer
// versions, which may nest deeper in fields that are ignored here.
constexpr std::size_t MaxDepth = 16;

/// Validates the structure of a payload before objects are allocated for it. Every element takes at
/// least one byte, so arrays that declare more elements than the payload has bytes are malformed.
/// Without this check, a few bytes could make the unpacker allocate gigabytes.
struct ShapeValidator : msgpack::null_visitor {
  std::size_t RemainingElements = 0;
  std::size_t Depth = 0;

  bool start_array(std::uint32_t n) { // NOLINT(readability-identifier-naming)
    if (n > RemainingElements || ++Depth > MaxDepth)
      return false;
    RemainingElements -= n;
    return true;
  }
  bool end_array() { // NOLINT(readability-identifier-naming)
    --Depth;
    return true;
  }
  bool start_map(std::uint32_t) { return false; } // NOLINT(readability-identifier-naming)
  bool visit_ext(const char *, std::uint32_t) {
    return false;
  } // NOLINT(readability-identifier-naming)
};

} // namespace

Result<Unpacked> unpack(std::string_view payload) {
  try {
    ShapeValidator shape;
    shape.RemainingElements = payload.size();
    std::size_t end = 0;
    if (!msgpack::parse(payload.data(), payload.size(), end, shape))
      return fail(ResultCode::PeerBadFrame, "malformed msgpack");
    if (end != payload.size())
      return fail(ResultCode::PeerBadFrame, "trailing bytes");
    Unpacked out;
    out.Handle = msgpack::unpack(payload.data(), payload.size(),
                                 [](msgpack::type::object_type, std::size_t, void *) {
                                   return true; // Strings refer to the payload, without a copy.
                                 });
    const msgpack::object &o = out.Handle.get();
    if (o.type != msgpack::type::ARRAY || o.via.array.size == 0 ||
        o.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER)
      return fail(ResultCode::PeerBadFrame, "not an array that starts with a type number");
    out.Type = o.via.array.ptr[0].via.u64;
    out.Items = o.via.array.ptr + 1;
    out.Count = o.via.array.size - 1;
    return out;
  } catch (const std::exception &e) {
    return fail(ResultCode::PeerBadFrame, e.what());
  }
}

} // namespace detail

namespace {

using message::Message;

/// Decodes the fields as the message type with the number I.
template <std::size_t I> Result<Message> decodeAs(const detail::Unpacked &in) {
  Message m(std::in_place_index<I>);
  if (!detail::unpackFields(in.Items, in.Count, std::get<I>(m)))
    return fail(ResultCode::PeerBadFrame,
                "fields do not fit message type " + std::to_string(in.Type));
  return m;
}

template <std::size_t... I>
constexpr std::array<Result<Message> (*)(const detail::Unpacked &), sizeof...(I)>
decoders(std::index_sequence<I...>) {
  return {decodeAs<I>...};
}

/// Decoding functions by message type number.
constexpr auto Decoders = decoders(std::make_index_sequence<std::variant_size_v<Message>>());
static_assert(Decoders.size() <= HelloType, "message type numbers reach those of the handshake");

template <typename T> Result<T> decodeHandshake(std::string_view payload, std::uint8_t type) {
  const Result<detail::Unpacked> in = detail::unpack(payload);
  if (!in)
    return tl::make_unexpected(in.error());
  T out;
  if (in->Type != type || !detail::unpackFields(in->Items, in->Count, out))
    return fail(ResultCode::PeerBadFrame, "not the expected handshake frame");
  return out;
}

} // namespace

std::string encode(const Message &m) {
  return std::visit(
      [&](const auto &it) { return detail::packFrame(static_cast<std::uint8_t>(m.index()), it); },
      m);
}

Result<Message> decode(std::string_view payload) {
  if (payload.size() > MaxPayloadSize)
    return fail(ResultCode::PeerTooLarge, "payload of " + std::to_string(payload.size()) +
                                              " bytes, at most " + std::to_string(MaxPayloadSize));
  const Result<detail::Unpacked> in = detail::unpack(payload);
  if (!in)
    return tl::make_unexpected(in.error());
  if (in->Type >= Decoders.size())
    return fail(ResultCode::PeerBadFrame, "unknown message type " + std::to_string(in->Type));
  return Decoders[in->Type](*in);
}

std::string encodeHello(const Hello &hello) { return detail::packFrame(HelloType, hello); }

std::string encodeAuth(const Auth &auth) { return detail::packFrame(AuthType, auth); }

Result<Hello> decodeHello(std::string_view payload) {
  return decodeHandshake<Hello>(payload, HelloType);
}

Result<Auth> decodeAuth(std::string_view payload) {
  return decodeHandshake<Auth>(payload, AuthType);
}

} // namespace chervil::wire
