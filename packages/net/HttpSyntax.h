// Rules of HTTP/1.1 that every answer must keep, whichever client reads it. Use:
//   if (!isFinalStatus(status) && !isInterimStatus(status)) ...
#ifndef CHERVIL_NET_HTTPSYNTAX_H
#define CHERVIL_NET_HTTPSYNTAX_H

#include <string_view>

namespace chervil::net {

/// True for the status of a final answer (RFC 9110, section 15: 100 to 599 are valid, below 200 an
/// answer follows).
constexpr bool isFinalStatus(int status) { return status >= 200 && status <= 599; }

/// True for the status of an interim answer, which the final one follows. After 101 another
/// protocol follows, for which no call asks.
constexpr bool isInterimStatus(int status) {
  constexpr int switchingProtocols = 101;
  return status >= 100 && status <= 199 && status != switchingProtocols;
}

/// True for the name of a field: a token (RFC 9110, section 5.6.2), thus without blanks and control
/// bytes.
bool isFieldName(std::string_view text);

/// True for the value of a field: no control bytes but tabs (RFC 9110, section 5.5).
bool isFieldValue(std::string_view text);

} // namespace chervil::net

#endif
