#include "wire/FrameReader.h"

namespace chervil::wire {
namespace {

// Maximum capacity in bytes that an empty buffer keeps, so that many idle connections take little
// memory.
constexpr std::size_t MaxIdleCapacity = 4096;

} // namespace

void feed(FrameReader &reader, std::string_view bytes) {
  reader.Buffer.erase(0, reader.Consumed);
  reader.Consumed = 0;
  reader.Buffer.append(bytes);
}

Result<std::optional<std::string_view>> takeFrame(FrameReader &reader) {
  const std::string_view left = std::string_view(reader.Buffer).substr(reader.Consumed);
  if (left.empty()) {
    reader.Consumed = 0;
    reader.Buffer.clear();
    if (reader.Buffer.capacity() > MaxIdleCapacity)
      reader.Buffer.shrink_to_fit();
  }
  if (left.size() < PrefixSize)
    return std::nullopt;
  std::size_t n = 0;
  for (std::size_t i = 0; i < PrefixSize; ++i)
    n = n << 8 | static_cast<unsigned char>(left[i]);
  if (n > reader.Limit)
    return fail(ResultCode::PeerTooLarge, "frame of " + std::to_string(n) + " bytes, at most " +
                                              std::to_string(reader.Limit));
  if (left.size() - PrefixSize < n)
    return std::nullopt;
  reader.Consumed += PrefixSize + n;
  return left.substr(PrefixSize, n);
}

bool hasPartialFrame(const FrameReader &reader) { return reader.Consumed < reader.Buffer.size(); }

} // namespace chervil::wire
