// RapidCheck generators and comparison for all messages, based on the field lists. For tests only.
// Use:
//   const message::Message m = *genMessage();
//   RC_ASSERT(equalFields(m, other));
#ifndef CHERVIL_WIRE_MESSAGEGEN_H
#define CHERVIL_WIRE_MESSAGEGEN_H

#include "wire/detail/Pack.h"

#include <rapidcheck.h>

namespace chervil::wire {

/// Assigns arbitrary values that can be encoded to `v` and its members.
template <typename T> void fillArbitrary(T &v) {
  if constexpr (std::same_as<T, std::string>) {
    v = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
  } else if constexpr (std::same_as<T, bool>) {
    v = *rc::gen::arbitrary<bool>();
  } else if constexpr (std::same_as<T, double>) {
    v = *rc::gen::suchThat(rc::gen::arbitrary<double>(), [](double d) { return std::isfinite(d); });
  } else if constexpr (std::is_enum_v<T>) {
    v = static_cast<T>(*rc::gen::inRange<std::uint64_t>(0, detail::maxEnumValue<T>() + 1));
  } else if constexpr (std::unsigned_integral<T>) {
    // Values from the whole range are as likely as small ones, so that msgpack integers of each
    // width occur.
    v = *rc::gen::oneOf(
        rc::gen::arbitrary<T>(),
        rc::gen::map(rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()),
                     [](std::uint64_t n) { return static_cast<T>(n * 0x9e3779b9U); }),
        rc::gen::just(std::numeric_limits<T>::max()));
  } else if constexpr (std::same_as<T, WallTime> || std::same_as<T, std::chrono::milliseconds>) {
    v = T(
        std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, detail::MaxMilliseconds + 1)));
  } else if constexpr (detail::IsVector<T>) {
    v.resize(*rc::gen::inRange<std::size_t>(0, 5));
    for (auto &it : v)
      fillArbitrary(it);
  } else {
    std::apply([](auto &...member) { (fillArbitrary(member), ...); }, detail::fields(v));
  }
}

/// Compares all members.
template <typename T> bool equalFields(const T &a, const T &b) {
  if constexpr (detail::IsVector<T>) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](const auto &x, const auto &y) { return equalFields(x, y); });
  } else if constexpr (detail::WireStruct<const T>) {
    const auto x = detail::fields(a);
    const auto y = detail::fields(b);
    return [&]<std::size_t... I>(std::index_sequence<I...>) {
      return (equalFields(std::get<I>(x), std::get<I>(y)) && ...);
    }
    (std::make_index_sequence<std::tuple_size_v<decltype(x)>>());
  } else {
    return a == b;
  }
}

inline bool equalFields(const message::Message &a, const message::Message &b) {
  return a.index() == b.index() &&
         std::visit(
             [&](const auto &it) {
               return equalFields(it, std::get<std::decay_t<decltype(it)>>(b));
             },
             a);
}

/// Generates a message with the given type number. Throws std::out_of_range for an unknown one.
template <std::size_t I = 0> message::Message messageOfType(std::size_t type) {
  if constexpr (I < std::variant_size_v<message::Message>) {
    if (type != I)
      return messageOfType<I + 1>(type);
    message::Message m(std::in_place_index<I>);
    fillArbitrary(std::get<I>(m));
    return m;
  }
  throw std::out_of_range("message type");
}

/// Generates messages of all types.
inline rc::Gen<message::Message> genMessage() {
  return rc::gen::exec([] {
    return messageOfType(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<message::Message>));
  });
}

} // namespace chervil::wire

namespace rc {
/// Printed when a property fails: the type and the size of the encoded message.
inline void showValue(const chervil::message::Message &m, std::ostream &out) {
  out << "message type " << m.index() << ", " << chervil::wire::encode(m).size() << " bytes";
}
} // namespace rc

#endif
