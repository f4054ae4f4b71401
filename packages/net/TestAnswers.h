// Answers of faulty servers, byte by byte, which no client may take for an answer.
#ifndef CHERVIL_NET_TESTANSWERS_H
#define CHERVIL_NET_TESTANSWERS_H

#include <string>
#include <string_view>
#include <vector>

namespace chervil::net::test {

struct TestAnswer {
  std::string What;
  std::string Bytes;
};

/// Answers whose status has not three digits, or is not in the range of RFC 9110, section 15. Apart
/// from it they are whole.
inline std::vector<TestAnswer> answersOfInvalidStatus() {
  std::vector<TestAnswer> out;
  for (const char *status :
       {"000", "001", "042", "099", "600", "700", "999", "20", "2000", "20x", "-20", ""})
    for (const char *framing :
         {"Content-Length: 2\r\n\r\nok", "\r\nok", "Content-Length: 0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
      out.push_back({std::string(status) + " with " + framing,
                     "HTTP/1.1 " + std::string(status) + " Status\r\n" + framing});
  return out;
}

/// Answers that change to another protocol.
inline std::vector<TestAnswer> changesOfProtocol() {
  const std::string head = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: p\r\n\r\n";
  return {{"nothing follows", head},
          {"bytes follow", head + "bytes of another protocol"},
          {"an answer follows", head + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"}};
}

/// True for the bytes of which the name of a field consists (RFC 9110, section 5.6.2).
inline bool isNameByte(unsigned char byte) {
  return (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') ||
         (byte >= 'a' && byte <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte)) !=
             std::string_view::npos;
}

/// Answers with a line in the head that has no proper name. With a framing field of such a name, a
/// client that ignores the line reads another body than one that takes it.
inline std::vector<TestAnswer> answersOfInvalidNames() {
  std::vector<TestAnswer> out;
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n\r\nok";
  const auto add = [&](const std::string &line) {
    out.push_back({line + ", first", status + line + "\r\nX-After: v\r\n" + length});
    out.push_back({line + ", later", status + "X-Before: v\r\n" + line + "\r\n" + length});
  };
  for (int byte = 0; byte < 256; ++byte) {
    if (isNameByte(static_cast<unsigned char>(byte)) || byte == ':' || byte == '\n')
      continue;
    const std::string text(1, static_cast<char>(byte));
    add("X" + text + "Y: v");
    add("X-Name" + text + ": v");
  }
  for (const char *line : {": v", "no colon"})
    add(line);
  out.push_back({"fold without a field", status + " X-Name: v\r\n" + length});
  for (const char *framing :
       {"Content-Length : 2\r\n\r\nok and more", "Content-Length\t: 2\r\n\r\nok and more",
        "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "Content-Length: 2\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
    out.push_back({framing, status + framing});
  return out;
}

/// Answers with a control byte in the value of a field.
inline std::vector<TestAnswer> answersOfInvalidValues() {
  std::vector<TestAnswer> out;
  for (int byte = 0; byte <= 0x7f; ++byte) {
    if ((byte >= ' ' && byte < 0x7f) || byte == '\t' || byte == '\n')
      continue;
    const std::string line = "X-Name: a" + std::string(1, static_cast<char>(byte)) + "b";
    out.push_back({line, "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\nok"});
  }
  return out;
}

/// A sound answer with all that a head may hold: names of all bytes allowed, values with tabs and
/// bytes above 127, none at all, and a folded line.
inline std::string unusualAnswer() {
  std::string name;
  for (int byte = 0; byte < 256; ++byte)
    if (isNameByte(static_cast<unsigned char>(byte)))
      name += static_cast<char>(byte);
  return "HTTP/1.1 200 OK\r\n" + name + ": a\tb\xe9\r\nX-Empty:\r\nX-Fold: a\r\n\t b: c\r\n" +
         "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Trailer: t\r\n\r\n";
}

} // namespace chervil::net::test

#endif
