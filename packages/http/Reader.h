// Incremental parsers of HTTP/1.1 messages, by Boost.Beast without any input or output. Use:
//   RequestReader reader({.HeaderBytes = 16384, .BodyBytes = 1 << 20});
//   in.append(bytes); in.erase(0, feed(reader, in));
//   if (reader.State == ReadState::Done) handle(reader.Head, reader.Body);
// A reader reads one message; make a new one for the next. Both kinds stop at the end of their
// message, so that bytes behind it stay with the caller.
#ifndef CHERVIL_HTTP_READER_H
#define CHERVIL_HTTP_READER_H

#include "http/Fields.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chervil::http {

enum class ReadState : std::uint8_t { Head, Body, Done, Failed };

struct ReadLimits {
  std::uint32_t HeaderBytes = 16384;
  std::uint64_t BodyBytes = std::uint64_t{4} << 20U;
};

/// Bytes of framing that a chunked body may have per byte of payload, in addition to HeaderBytes.
/// Chunks of one byte need 5.
inline constexpr std::uint64_t MaxFramingPerByte = 16;

namespace detail {
struct RequestParser;
struct ResponseParser;
struct ParserDeleter {
  void operator()(RequestParser *parser) const;
  void operator()(ResponseParser *parser) const;
};
} // namespace detail

struct RequestReader {
  explicit RequestReader(const ReadLimits &limits);

  ReadState State = ReadState::Head;
  RequestHead Head;
  std::string Body;
  /// Status with which a message that cannot be read is answered; set with Failed.
  int ErrorStatus = 400;
  /// The connection may carry another request; valid with Done.
  bool KeepAlive = true;
  ReadLimits Limits;
  /// Bytes used after the head, with the framing of chunks and the trailers.
  std::uint64_t BodyWireBytes = 0;
  std::unique_ptr<detail::RequestParser, detail::ParserDeleter> Parser;
};

/// Reads what it can and returns the number of bytes used. The unused rest must be passed again,
/// followed by more. Trailers count towards the limit of the head and are not kept.
std::size_t feed(RequestReader &reader, std::string_view bytes);

/// Length that the head announces; empty for a chunked body and before the head is complete.
std::optional<std::uint64_t> announcedLength(const RequestReader &reader);

/// Bytes that the reader holds, with an estimate of the overhead of the fields.
std::uint64_t heldBytes(const RequestReader &reader);
/// The same for a head.
std::uint64_t heldBytes(const RequestHead &head);

/// Largest head of a response.
inline constexpr std::uint32_t MaxResponseHeadBytes = 16 * 1024;

struct ResponseReader {
  ResponseReader();

  ReadState State = ReadState::Head;
  ResponseHead Head;
  /// Body bytes read since the caller last took them.
  std::string Body;
  bool KeepAlive = true;
  /// The message has no length of its own and ends with the connection.
  bool EndsWithConnection = false;
  std::unique_ptr<detail::ResponseParser, detail::ParserDeleter> Parser;
};

std::size_t feed(ResponseReader &reader, std::string_view bytes);

/// True if the message is complete when the connection ends in an orderly way now.
bool endsNow(const ResponseReader &reader);

/// The peer closed the connection in an orderly way: completes a message that ends with it and
/// fails any other that has begun.
void feedEnd(ResponseReader &reader);

} // namespace chervil::http

#endif
