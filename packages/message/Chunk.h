// From the owner to a reader: part of the answer.
#ifndef CHERVIL_MESSAGE_CHUNK_H
#define CHERVIL_MESSAGE_CHUNK_H

#include <cstdint>
#include <string>

namespace chervil::message {

struct Chunk {
  /// Reader number of the Fetch.
  std::uint64_t Reader = 0;
  /// Position of Bytes in the answer.
  std::uint64_t Offset = 0;
  std::string Bytes;
};

} // namespace chervil::message

#endif
