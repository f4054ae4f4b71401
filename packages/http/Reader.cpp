#include "http/Reader.h"

#include "net/HttpSyntax.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace chervil::http {
namespace beast = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using BeastView = boost::beast::string_view;

namespace detail {
namespace {

constexpr std::uint64_t UnknownLength = std::numeric_limits<std::uint64_t>::max();

std::string toText(BeastView view) { return {view.data(), view.size()}; }

/// Appends part of a body of at most `length` bytes. std::string doubles its buffer, whose unused
/// part would count as much as the body; this grows by a quarter.
void append(std::string &to, BeastView bytes, std::uint64_t length) {
  constexpr std::size_t minGrowth = 1024;
  const std::size_t needed = to.size() + bytes.size();
  if (needed > to.capacity()) {
    const std::size_t grown = to.size() + to.size() / 4 + minGrowth;
    std::string larger;
    larger.reserve(std::max<std::size_t>(needed, std::min<std::uint64_t>(grown, length)));
    larger.append(to);
    to.swap(larger);
  }
  to.append(bytes.data(), bytes.size());
}

/// Collects a message into a Message with Head and Body.
template <bool IsRequest, typename Message> struct Collector : beast::basic_parser<IsRequest> {
  Message *Target = nullptr;
  /// Both a length and chunks: the message could be read in two ways (request smuggling).
  bool HasLength = false;
  bool HasEncoding = false;
  /// Why a complete head cannot be taken.
  ErrorCode HeadError;

  void on_request_impl(beast::verb, BeastView method, BeastView target, int,
                       ErrorCode &ec) override {
    ec = {};
    if constexpr (IsRequest) {
      Target->Head.Method = toText(method);
      Target->Head.Target = toText(target);
    }
  }
  void on_response_impl(int code, BeastView reason, int, ErrorCode &ec) override {
    ec = {};
    if constexpr (!IsRequest) {
      // The parser takes any three digits.
      if (!net::isFinalStatus(code) && !net::isInterimStatus(code))
        ec = beast::error::bad_status;
      Target->Head.Status = code;
      Target->Head.Reason = toText(reason);
    }
  }
  void on_field_impl(beast::field field, BeastView name, BeastView value, ErrorCode &ec) override {
    ec = {};
    // A trailer is not a field of the head: it must not frame the message or be forwarded as one.
    if (Target->State != ReadState::Head)
      return;
    if (field == beast::field::content_length) {
      if (HasLength)
        ec = beast::error::bad_content_length;
      HasLength = true;
    }
    if (field == beast::field::transfer_encoding)
      HasEncoding = true;
    if (HasLength && HasEncoding)
      ec = beast::error::bad_transfer_encoding;
    Target->Head.Fields.emplace_back(toText(name), toText(value));
  }
  void on_header_impl(ErrorCode &ec) override {
    HeadError = {};
    if (HasEncoding && !this->chunked())
      HeadError = beast::error::bad_transfer_encoding;
    ec = HeadError;
    Target->State = ReadState::Body;
  }
  void on_body_init_impl(boost::optional<std::uint64_t> const &, ErrorCode &ec) override {
    // The parser drops the error of a head whose body has arrived with it.
    ec = HeadError;
  }
  std::size_t on_body_impl(BeastView body, ErrorCode &ec) override {
    ec = {};
    append(Target->Body, body, this->content_length().value_or(UnknownLength));
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, BeastView, ErrorCode &ec) override { ec = {}; }
  std::size_t on_chunk_body_impl(std::uint64_t, BeastView body, ErrorCode &ec) override {
    ec = {};
    append(Target->Body, body, UnknownLength);
    return body.size();
  }
  void on_finish_impl(ErrorCode &ec) override { ec = {}; }
};

int statusOf(const ErrorCode &ec) {
  if (ec == beast::error::header_limit)
    return 431;
  if (ec == beast::error::body_limit)
    return 413;
  return 400;
}

/// Feeds the parser until it needs more bytes, is done or fails.
template <typename Reader> std::size_t feedParser(Reader &reader, std::string_view bytes) {
  if (reader.State == ReadState::Done || reader.State == ReadState::Failed || bytes.empty())
    return 0;
  reader.Parser->Target = &reader;
  std::size_t used = 0;
  while (used < bytes.size() && !reader.Parser->is_done()) {
    ErrorCode ec;
    const std::size_t n =
        reader.Parser->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), ec);
    used += n;
    if (ec == beast::error::need_more || (!ec && n == 0))
      break;
    if (ec) {
      reader.State = ReadState::Failed;
      if constexpr (requires { reader.ErrorStatus; })
        reader.ErrorStatus = statusOf(ec);
      return used;
    }
  }
  if (reader.Parser->is_done()) {
    reader.State = ReadState::Done;
    reader.KeepAlive = reader.Parser->keep_alive();
  }
  return used;
}

} // namespace

struct RequestParser : Collector<true, RequestReader> {};
struct ResponseParser : Collector<false, ResponseReader> {};

void ParserDeleter::operator()(RequestParser *parser) const { delete parser; }
void ParserDeleter::operator()(ResponseParser *parser) const { delete parser; }

} // namespace detail

RequestReader::RequestReader(const ReadLimits &limits)
    : Limits(limits), Parser(new detail::RequestParser) {
  Parser->header_limit(limits.HeaderBytes);
  Parser->body_limit(limits.BodyBytes);
  Parser->eager(true);
}

ResponseReader::ResponseReader() : Parser(new detail::ResponseParser) {
  // The caller bounds the body, because parts of it are taken while it is read. An absent limit
  // compares as smaller than any length: the parser would then fail on a head that arrives before
  // its body, and not report one that arrives with it.
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  Parser->header_limit(MaxResponseHeadBytes);
  Parser->eager(true);
}

std::size_t feed(RequestReader &reader, std::string_view bytes) {
  const bool hadHead = reader.State != ReadState::Head;
  const std::size_t used = detail::feedParser(reader, bytes);
  if (reader.State == ReadState::Head)
    return used;
  constexpr std::string_view endOfHead = "\r\n\r\n";
  const std::size_t head = hadHead ? 0 : std::min(used, bytes.find(endOfHead) + endOfHead.size());
  reader.BodyWireBytes += used - head;
  // The parser takes a line that begins a chunk, or the trailers, only when they are complete.
  const bool tooLong =
      reader.State == ReadState::Body && bytes.size() - used > reader.Limits.HeaderBytes;
  const bool tooMuch = reader.BodyWireBytes >
                       reader.Limits.HeaderBytes + reader.Body.size() * (MaxFramingPerByte + 1);
  if (reader.State != ReadState::Failed && (tooLong || tooMuch)) {
    reader.State = ReadState::Failed;
    reader.ErrorStatus = 431;
  }
  return used;
}

std::optional<std::uint64_t> announcedLength(const RequestReader &reader) {
  if (reader.State == ReadState::Head)
    return std::nullopt;
  const auto length = reader.Parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

std::uint64_t heldBytes(const RequestHead &head) {
  std::uint64_t bytes = sizeof(head) + head.Method.capacity() + head.Target.capacity() +
                        head.Fields.capacity() * sizeof(Fields::value_type);
  // Short texts are stored within the string itself.
  constexpr std::size_t inPlace = 15;
  for (const auto &[name, value] : head.Fields)
    for (const std::string *it : {&name, &value})
      bytes += it->capacity() > inPlace ? it->capacity() : 0;
  return bytes;
}

std::uint64_t heldBytes(const RequestReader &reader) {
  return heldBytes(reader.Head) + reader.Body.capacity();
}

std::size_t feed(ResponseReader &reader, std::string_view bytes) {
  const std::size_t used = detail::feedParser(reader, bytes);
  if (reader.State == ReadState::Body)
    reader.EndsWithConnection = reader.Parser->need_eof();
  return used;
}

bool endsNow(const ResponseReader &reader) {
  return reader.State == ReadState::Body && reader.EndsWithConnection;
}

void feedEnd(ResponseReader &reader) {
  if (reader.State == ReadState::Done || reader.State == ReadState::Failed)
    return;
  reader.KeepAlive = false;
  reader.State = endsNow(reader) ? ReadState::Done : ReadState::Failed;
}

} // namespace chervil::http
