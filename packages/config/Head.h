// The head: the document config/head, which holds the accepted contract version of each customer.
// Use:
//   Result<Head> head = parseHead(body);
//   if (raise(*head, "norte-brigadas", 7)) write(serialise(*head));
#ifndef CHERVIL_CONFIG_HEAD_H
#define CHERVIL_CONFIG_HEAD_H

#include "base/Error.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace chervil::config {

/// Key of the head in the key-value service.
inline constexpr const char *HeadKey = "config/head";
/// Prefix of the keys of contract documents; the customer's name follows.
inline constexpr std::string_view ContractPrefix = "config/contracts/";

/// Returns the key of a customer's contract document.
inline std::string contractKey(std::string_view customer) {
  return std::string(ContractPrefix).append(customer);
}

struct Head {
  /// Version of the head itself, raised by 1 with each write.
  std::uint64_t Version = 0;
  /// Accepted contract version by customer.
  std::map<std::string, std::uint64_t> Contracts;

  bool operator==(const Head &) const = default;
};

/// Parses the output of serialise(). Errors: BadContract with the first fault if the text is not a
/// valid head; for text that is not a JSON object, the error of detail::parseObject().
Result<Head> parseHead(std::string_view text);
/// Returns compact JSON: {"contracts":{customer:version,...},"version":N}.
std::string serialise(const Head &head);

/// Returns the accepted version of a customer's contract, or 0 if there is none.
std::uint64_t acceptedVersion(const Head &head, const std::string &customer);

/// Sets the accepted version of a customer's contract and raises the version of the head by 1.
/// Returns false and changes nothing if the head names this or a later version.
bool raiseAcceptedVersion(Head &head, const std::string &customer, std::uint64_t version);

} // namespace chervil::config

#endif
