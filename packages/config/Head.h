// The document config/head: customer -> accepted contract version. Use:
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

inline constexpr const char *HeadKey = "config/head";
inline constexpr std::string_view ContractPrefix = "config/contracts/";

/// Key of a customer's contract document.
inline std::string contractKey(std::string_view customer) {
  return std::string(ContractPrefix).append(customer);
}

struct Head {
  /// Version of the head itself, raised by each write.
  std::uint64_t Version = 0;
  std::map<std::string, std::uint64_t> Contracts;

  bool operator==(const Head &) const = default;
};

Result<Head> parseHead(std::string_view text);
std::string serialise(const Head &head);

/// Accepted version of a customer's contract, 0 when there is none.
std::uint64_t acceptedVersion(const Head &head, const std::string &customer);

/// Names `version` in the head and raises the head's own version. False, with nothing changed, when
/// the head names this or a later one.
bool raiseAcceptedVersion(Head &head, const std::string &customer, std::uint64_t version);

} // namespace chervil::config

#endif
