// What a contract says about one service of application engines. Use:
//   CallTerms terms = callTerms(*findService(contract, "despacho"), "POST", "/bookings");
//   if (!terms.Repeatable) ...
#ifndef CHERVIL_CONTRACT_SERVICETERMS_H
#define CHERVIL_CONTRACT_SERVICETERMS_H

#include "base/Time.h"
#include "contract/WorkLength.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chervil {

/// Applies to calls with one of the methods whose path starts with the prefix.
struct CallRule {
  /// Upper-case HTTP methods; empty for all.
  std::vector<std::string> Methods;
  /// Compared by whole path segments: "/bookings" covers "/bookings/7" but not "/bookings2".
  std::string PathPrefix = "/";
  /// Nothing for the default of the method.
  std::optional<bool> Repeatable;
  /// Nothing for the timeout of the service.
  std::optional<Duration> Timeout;
  WorkLength Work = WorkLength::Short;

  bool operator==(const CallRule &) const = default;
};

struct ServiceTerms {
  std::string Name;
  /// Group of back ends that run the service.
  std::string Backends;
  Duration Timeout = std::chrono::seconds(10);
  std::vector<CallRule> Rules;

  bool operator==(const ServiceTerms &) const = default;
};

/// The terms of one call.
struct CallTerms {
  bool Repeatable = false;
  Duration Timeout{0};
  WorkLength Work = WorkLength::Short;

  bool operator==(const CallTerms &) const = default;
};

/// True for methods that RFC 9110 defines as idempotent and the system forwards: GET, HEAD, PUT and
/// DELETE.
bool repeatableByDefault(std::string_view method);

/// False for a path that a back end could resolve to another one: with dot segments, empty
/// segments, path parameters, backslashes, or escapes of characters that need none.
bool isPlainPath(std::string_view path);

/// Terms of a call. The rule with the longest matching prefix applies; of equal ones, the first.
/// A call whose path is not plain is never repeatable, because the rule that applies is not
/// certain.
CallTerms callTerms(const ServiceTerms &service, std::string_view method, std::string_view path);

} // namespace chervil

#endif
