#include "http/fuzz/ReaderProperties.h"

#include "http/Reader.h"
#include "net/HttpSyntax.h"

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace chervil::http::fuzz {
namespace {

// Small, so that short inputs reach them.
constexpr ReadLimits Limits{.HeaderBytes = 256, .BodyBytes = 1024};
// Inputs up to this size are cut at every byte, longer ones at this many places.
constexpr std::size_t MaxCuts = 192;
constexpr std::size_t MaxMessages = 64;

/// A message as read.
struct Message {
  ReadState State = ReadState::Head;
  int ErrorStatus = 0;
  /// Method and target, or status and reason.
  std::string First;
  std::string Second;
  http::Fields Fields;
  std::string Body;
  bool KeepAlive = true;

  bool operator==(const Message &) const = default;
};

struct Outcome {
  std::vector<Message> Messages;
  std::string Fault;
};

bool hasLineEnd(std::string_view text) {
  return text.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos;
}

std::string checkText(const Message &m) {
  if (hasLineEnd(m.First) || hasLineEnd(m.Second))
    return "the first line contains the end of a line";
  for (const auto &[name, value] : m.Fields)
    if (!net::isFieldName(name) || !net::isFieldValue(value))
      return "a field has no proper name or a control byte in its value";
  return {};
}

Message messageOf(RequestReader &reader) {
  const bool isDone = reader.State == ReadState::Done;
  return {.State = reader.State,
          .ErrorStatus = reader.State == ReadState::Failed ? reader.ErrorStatus : 0,
          .First = reader.Head.Method,
          .Second = reader.Head.Target,
          .Fields = reader.Head.Fields,
          .Body = reader.Body,
          .KeepAlive = !isDone || reader.KeepAlive};
}

std::string checkRequest(const RequestReader &reader, std::size_t unread) {
  if (reader.Body.size() > Limits.BodyBytes)
    return "a body exceeds its limit";
  const bool waits = reader.State == ReadState::Head || reader.State == ReadState::Body;
  if (waits && unread > Limits.HeaderBytes)
    return "more bytes than the limit of the head wait for the end of a line";
  if (reader.BodyWireBytes > Limits.HeaderBytes + reader.Body.size() * (MaxFramingPerByte + 1) &&
      reader.State != ReadState::Failed)
    return "the framing exceeds its limit";
  return {};
}

/// Reads requests from a connection until the bytes end, a message fails or the connection closes.
/// `bytes` arrive in pieces of `first` bytes, then of `then` bytes.
Outcome readRequests(std::string_view bytes, std::size_t first, std::size_t then) {
  Outcome out;
  std::string in;
  RequestReader reader(Limits);
  std::size_t piece = first;
  while (!bytes.empty()) {
    const std::size_t n = std::min(piece, bytes.size());
    piece = then;
    in.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
    while (!in.empty()) {
      const std::size_t used = feed(reader, in);
      if (used > in.size()) {
        out.Fault = "more bytes were used than there are";
        return out;
      }
      in.erase(0, used);
      if (out.Fault = checkRequest(reader, in.size()); !out.Fault.empty())
        return out;
      if (reader.State != ReadState::Done)
        break;
      out.Messages.push_back(messageOf(reader));
      if (!reader.KeepAlive || out.Messages.size() >= MaxMessages)
        return out;
      reader = RequestReader(Limits);
    }
    if (reader.State == ReadState::Failed)
      break;
  }
  out.Messages.push_back(messageOf(reader));
  return out;
}

/// The same for a response; the body is taken after each piece.
Outcome readResponses(std::string_view bytes, std::size_t first, std::size_t then) {
  Outcome out;
  std::string in;
  std::string body;
  ResponseReader reader;
  const auto note = [&] {
    out.Messages.push_back({.State = reader.State,
                            .First = std::to_string(reader.Head.Status),
                            .Second = reader.Head.Reason,
                            .Fields = reader.Head.Fields,
                            .Body = std::exchange(body, {}),
                            .KeepAlive = reader.State != ReadState::Done || reader.KeepAlive});
  };
  std::size_t piece = first;
  while (!bytes.empty()) {
    const std::size_t n = std::min(piece, bytes.size());
    piece = then;
    in.append(bytes.substr(0, n));
    bytes.remove_prefix(n);
    while (!in.empty()) {
      const std::size_t used = feed(reader, in);
      if (used > in.size()) {
        out.Fault = "more bytes were used than there are";
        return out;
      }
      in.erase(0, used);
      body += std::exchange(reader.Body, {});
      if (reader.State != ReadState::Done)
        break;
      note();
      if (!reader.KeepAlive || out.Messages.size() >= MaxMessages)
        return out;
      reader = ResponseReader();
    }
    if (reader.State == ReadState::Failed)
      break;
  }
  feedEnd(reader);
  note();
  return out;
}

/// A request with the same head, without the fields that frame it, and the same body.
std::string textOf(const Message &m) {
  std::string out = m.First + " " + m.Second + " HTTP/1.1\r\n";
  for (const auto &[name, value] : m.Fields)
    if (!isHopByHop(m.Fields, name))
      out.append(name).append(": ").append(value).append("\r\n");
  return out.append("Content-Length: " + std::to_string(m.Body.size()) + "\r\n\r\n").append(m.Body);
}

/// A request that is passed on must be read at the server as it was read here.
std::string checkPassedOn(const Message &m) {
  const std::string text = textOf(m);
  RequestReader reader({.HeaderBytes = 4 * Limits.HeaderBytes, .BodyBytes = Limits.BodyBytes});
  if (feed(reader, text) != text.size() || reader.State != ReadState::Done)
    return "a request that was read is not read again";
  if (reader.Head.Method != m.First || reader.Head.Target != m.Second || reader.Body != m.Body)
    return "a request that is passed on reads differently";
  return {};
}

bool isFailed(const Message &m) { return m.State == ReadState::Failed; }

/// True if both ended alike. Two differences are allowed. Whether the bound on framing is exceeded
/// depends on how much payload has arrived with it, so that a message may be refused with 431 in
/// some pieces only. A head that arrives in pieces is checked when it is complete, so that one that
/// fails at once as a whole may still be waited for. Nothing of it is used before.
bool isAlike(const Message &a, const Message &b) {
  constexpr int tooMuchFraming = 431;
  for (const Message *it : {&a, &b})
    if (isFailed(*it) && it->ErrorStatus == tooMuchFraming)
      return true;
  if (isFailed(a) && isFailed(b))
    return a.ErrorStatus == b.ErrorStatus;
  if (isFailed(a) || isFailed(b))
    return (isFailed(a) ? b : a).State == ReadState::Head;
  const bool waitsForHead = a.State == ReadState::Head && b.State == ReadState::Head;
  return waitsForHead || a == b;
}

std::string describe(const Message &m) {
  return "state " + std::to_string(static_cast<int>(m.State)) + " status " +
         std::to_string(m.ErrorStatus) + " fields " + std::to_string(m.Fields.size()) + " body " +
         std::to_string(m.Body.size());
}

std::string compare(const Outcome &whole, const Outcome &pieces) {
  if (!pieces.Fault.empty())
    return pieces.Fault;
  const std::size_t n = std::min(whole.Messages.size(), pieces.Messages.size());
  for (std::size_t i = 0; i < n; ++i) {
    const Message &a = whole.Messages[i];
    const Message &b = pieces.Messages[i];
    if (!isAlike(a, b))
      return "message " + std::to_string(i) + " reads differently in pieces (" + describe(a) +
             "; " + describe(b) + ")";
    if (isFailed(a) || isFailed(b))
      return {};
  }
  return whole.Messages.size() == pieces.Messages.size() ? std::string()
                                                         : "pieces change the number of messages";
}

using Read = Outcome (*)(std::string_view bytes, std::size_t first, std::size_t then);

std::string checkPieces(Read read, const Outcome &whole, std::string_view bytes) {
  if (std::string fault = compare(whole, read(bytes, 1, 1)); !fault.empty())
    return fault + " of one byte";
  const std::size_t step = bytes.size() / MaxCuts + 1;
  for (std::size_t at = 1; at < bytes.size(); at += step)
    if (std::string fault = compare(whole, read(bytes, at, bytes.size())); !fault.empty())
      return fault + ", cut at " + std::to_string(at);
  return {};
}

} // namespace

std::string checkRequests(std::string_view bytes) {
  const Outcome whole = readRequests(bytes, bytes.size(), 1);
  if (!whole.Fault.empty())
    return whole.Fault;
  for (const Message &it : whole.Messages) {
    if (it.State == ReadState::Done || it.State == ReadState::Body)
      if (std::string fault = checkText(it); !fault.empty())
        return fault;
    if (it.State == ReadState::Done)
      if (std::string fault = checkPassedOn(it); !fault.empty())
        return fault;
  }
  return checkPieces(readRequests, whole, bytes);
}

std::string checkResponses(std::string_view bytes) {
  const Outcome whole = readResponses(bytes, bytes.size(), 1);
  if (!whole.Fault.empty())
    return whole.Fault;
  for (const Message &it : whole.Messages) {
    if (it.State != ReadState::Done)
      continue;
    if (std::string fault = checkText(it); !fault.empty())
      return fault;
    if (const int status = std::stoi(it.First);
        !net::isFinalStatus(status) && !net::isInterimStatus(status))
      return "a response of an invalid status was read";
  }
  return checkPieces(readResponses, whole, bytes);
}

} // namespace chervil::http::fuzz
