#include "base/Uuid.h"

#include <cstdint>

namespace chervil {
namespace {

constexpr std::size_t TextLength = 36;

bool isDash(std::size_t i) { return i == 8 || i == 13 || i == 18 || i == 23; }

int hexValue(char c) {
  if (c >= '0' && c <= '9')
    return c - '0';
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  return -1;
}

} // namespace

std::string makeUuid7(WallTime now, Random &rng) {
  const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count());
  const std::uint64_t a = rng();
  const std::uint64_t b = rng();
  const std::uint64_t hi = ((ms & 0xffffffffffffULL) << 16) | 0x7000U | (a & 0xfffU);
  const std::uint64_t lo = 0x8000000000000000ULL | (b & 0x3fffffffffffffffULL);
  std::string text;
  text.reserve(TextLength);
  for (int i = 0; i < 32; ++i) {
    if (isDash(text.size()))
      text.push_back('-');
    const std::uint64_t half = i < 16 ? hi : lo;
    text.push_back("0123456789abcdef"[(half >> (60 - 4 * (i % 16))) & 0xfU]);
  }
  return text;
}

std::optional<WallTime> uuid7Time(std::string_view text) {
  if (text.size() != TextLength || text[14] != '7')
    return std::nullopt;
  std::uint64_t ms = 0;
  int digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (isDash(i)) {
      if (text[i] != '-')
        return std::nullopt;
      continue;
    }
    const int value = hexValue(text[i]);
    if (value < 0)
      return std::nullopt;
    if (digits++ < 12)
      ms = (ms << 4) | static_cast<std::uint64_t>(value);
  }
  return WallTime(std::chrono::milliseconds(ms));
}

} // namespace chervil
