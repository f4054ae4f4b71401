// Generic msgpack encoding and decoding of the structs listed in Fields.h.
#ifndef CHERVIL_WIRE_DETAIL_PACK_H
#define CHERVIL_WIRE_DETAIL_PACK_H

#include "base/Error.h"
#include "base/Time.h"
#include "wire/Codec.h"
#include "wire/detail/Fields.h"

#include <chrono>
#include <cmath>
#include <limits>
#include <msgpack.hpp>
#include <vector>

namespace chervil::wire::detail {

/// Output stream of the packer: appends to a string.
struct Sink {
  std::string Bytes;
  void write(const char *data, std::size_t n) { Bytes.append(data, n); }
};
using Packer = msgpack::packer<Sink>;

/// Largest valid time of day or duration, in milliseconds. Larger values are invalid and would
/// overflow when converted to finer units.
constexpr std::int64_t MaxMilliseconds = std::int64_t{1} << 50;

template <typename T> constexpr bool IsVector = false;
template <typename T> constexpr bool IsVector<std::vector<T>> = true;

/// Appends `v` to the output; a struct becomes an array of its fields.
template <typename T> void packValue(Packer &out, const T &v) {
  if constexpr (std::same_as<T, std::string>) {
    out.pack_str(static_cast<std::uint32_t>(v.size()));
    out.pack_str_body(v.data(), static_cast<std::uint32_t>(v.size()));
  } else if constexpr (std::is_enum_v<T>) {
    out.pack(static_cast<std::underlying_type_t<T>>(v));
  } else if constexpr (std::same_as<T, WallTime>) {
    out.pack(static_cast<std::int64_t>(v.time_since_epoch().count()));
  } else if constexpr (std::same_as<T, std::chrono::milliseconds>) {
    out.pack(static_cast<std::int64_t>(v.count()));
  } else if constexpr (IsVector<T>) {
    out.pack_array(static_cast<std::uint32_t>(v.size()));
    for (const auto &it : v)
      packValue(out, it);
  } else if constexpr (WireStruct<const T>) {
    static_assert(IsComplete<T>, "fields() does not list every member");
    std::apply(
        [&](const auto &...member) {
          out.pack_array(sizeof...(member));
          (packValue(out, member), ...);
        },
        fields(v));
  } else {
    static_assert(std::is_arithmetic_v<T>);
    out.pack(v);
  }
}

/// Returns false if the object is not an integer in 0..MaxMilliseconds.
inline bool unpackMilliseconds(const msgpack::object &o, std::int64_t &v) {
  if (o.type != msgpack::type::POSITIVE_INTEGER ||
      o.via.u64 > static_cast<std::uint64_t>(MaxMilliseconds))
    return false;
  v = static_cast<std::int64_t>(o.via.u64);
  return true;
}

/// Returns false if the object is not a finite number.
inline bool unpackDouble(const msgpack::object &o, double &v) {
  // msgpack packs a floating-point number without a fractional part as an integer.
  if (o.type == msgpack::type::POSITIVE_INTEGER)
    v = static_cast<double>(o.via.u64);
  else if (o.type == msgpack::type::NEGATIVE_INTEGER)
    v = static_cast<double>(o.via.i64);
  else if (o.type == msgpack::type::FLOAT64 || o.type == msgpack::type::FLOAT32)
    v = o.via.f64;
  else
    return false;
  return std::isfinite(v);
}

/// Unpacks the members of a struct from `items`; additional items are ignored. Returns false if
/// items are missing or one does not fit.
template <typename T> bool unpackFields(const msgpack::object *items, std::size_t count, T &v);

/// Unpacks `o` into `v`. Returns false if the type or the value of the object does not fit.
template <typename T> bool unpackValue(const msgpack::object &o, T &v) {
  if constexpr (std::same_as<T, std::string>) {
    if (o.type != msgpack::type::STR && o.type != msgpack::type::BIN)
      return false;
    v.assign(o.via.str.ptr, o.via.str.size);
    return true;
  } else if constexpr (std::same_as<T, bool>) {
    v = o.type == msgpack::type::BOOLEAN && o.via.boolean;
    return o.type == msgpack::type::BOOLEAN;
  } else if constexpr (std::same_as<T, double>) {
    return unpackDouble(o, v);
  } else if constexpr (std::is_enum_v<T>) {
    if (o.type != msgpack::type::POSITIVE_INTEGER || o.via.u64 > maxEnumValue<T>())
      return false;
    v = static_cast<T>(o.via.u64);
    return true;
  } else if constexpr (std::unsigned_integral<T>) {
    if (o.type != msgpack::type::POSITIVE_INTEGER || o.via.u64 > std::numeric_limits<T>::max())
      return false;
    v = static_cast<T>(o.via.u64);
    return true;
  } else if constexpr (std::same_as<T, WallTime> || std::same_as<T, std::chrono::milliseconds>) {
    std::int64_t ms = 0;
    if (!unpackMilliseconds(o, ms))
      return false;
    v = T(std::chrono::milliseconds(ms));
    return true;
  } else if constexpr (IsVector<T>) {
    if (o.type != msgpack::type::ARRAY)
      return false;
    v.clear();
    for (std::uint32_t i = 0; i < o.via.array.size; ++i)
      if (!unpackValue(o.via.array.ptr[i], v.emplace_back()))
        return false;
    return true;
  } else {
    return o.type == msgpack::type::ARRAY && unpackFields(o.via.array.ptr, o.via.array.size, v);
  }
}

template <typename T> bool unpackFields(const msgpack::object *items, std::size_t count, T &v) {
  return std::apply(
      [&](auto &...member) {
        std::size_t i = 0;
        return count >= sizeof...(member) && (unpackValue(items[i++], member) && ...);
      },
      fields(v));
}

/// Returns the frame [type, members of `v`] with its length prefix.
template <typename T> std::string packFrame(std::uint8_t type, const T &v) {
  static_assert(IsComplete<T>, "fields() does not list every member");
  Sink sink;
  sink.Bytes.assign(PrefixSize, '\0');
  Packer out(sink);
  std::apply(
      [&](const auto &...member) {
        out.pack_array(sizeof...(member) + 1);
        out.pack(type);
        (packValue(out, member), ...);
      },
      fields(v));
  const std::size_t n = sink.Bytes.size() - PrefixSize;
  for (std::size_t i = 0; i < PrefixSize; ++i)
    sink.Bytes[i] = static_cast<char>((n >> (8 * (PrefixSize - 1 - i))) & 0xff);
  return std::move(sink.Bytes);
}

/// An unpacked payload: type number and fields. Strings refer to the payload, which must outlive
/// this object.
struct Unpacked {
  msgpack::object_handle Handle;
  std::uint64_t Type = 0;
  /// The Count fields after the type number; owned by Handle.
  const msgpack::object *Items = nullptr;
  std::size_t Count = 0;
};

/// Unpacks a payload without a length prefix. Fails with PeerBadFrame; never throws.
Result<Unpacked> unpack(std::string_view payload);

} // namespace chervil::wire::detail

#endif
