// Header fields of HTTP messages and the heads that carry them. Use:
//   if (const auto *value = find(head.Fields, "Content-Length")) ...
#ifndef CHERVIL_HTTP_FIELDS_H
#define CHERVIL_HTTP_FIELDS_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervil::http {

/// Names and values in the order received; names keep their spelling.
using Fields = std::vector<std::pair<std::string, std::string>>;

struct RequestHead {
  std::string Method;
  /// Path and query as received.
  std::string Target;
  http::Fields Fields;
};

struct ResponseHead {
  int Status = 0;
  std::string Reason;
  http::Fields Fields;
};

/// First value of a field; the name is compared without regard to case. Null when absent. Valid
/// until the fields change.
const std::string *find(const Fields &fields, std::string_view name);

/// Compares ASCII text without regard to case.
bool sameName(std::string_view a, std::string_view b);

/// True for fields that concern a single connection (RFC 9110, section 7.6.1) and for those that
/// frame the body; a relay sets them itself. `fields` supplies the names listed in Connection.
bool isHopByHop(const Fields &fields, std::string_view name);

/// Standard reason phrase of a status code.
std::string_view reasonOf(int status);

/// Path without the query.
std::string_view pathOf(std::string_view target);

/// Decoded value of a query parameter; empty when absent.
std::string queryValue(std::string_view target, std::string_view name);

} // namespace chervil::http

#endif
