// The contract of one customer: limits, latency target, cost ceiling, models and services. Use:
//   Result<Contract> c = parseContract(text);
//   if (c && acceptsToken(*c, bearerToken)) ...
// All functions are pure and safe to call from any thread.
#ifndef CHERVIL_CONTRACT_CONTRACT_H
#define CHERVIL_CONTRACT_CONTRACT_H

#include "base/Error.h"
#include "contract/ModelTerms.h"
#include "contract/ServiceTerms.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervil {

/// Limits over all nodes together.
struct ContractLimits {
  double RequestsPerSecond = 0;
  double TokensPerSecond = 0;
  std::uint32_t Streams = 0;

  bool operator==(const ContractLimits &) const = default;
};

/// Met for 95% of the customer's requests.
struct LatencyTarget {
  Duration FirstToken = std::chrono::milliseconds(460);
  Duration BetweenTokens = std::chrono::milliseconds(33);

  bool operator==(const LatencyTarget &) const = default;
};

struct Contract {
  /// Also the name of the document; lower-case letters, digits, '.', '_' and '-'.
  std::string Customer;
  /// Bearer tokens, each as "sha256:" and 64 hex digits, or in plain text (for tests).
  std::vector<std::string> Keys;
  ContractLimits Limits;
  LatencyTarget Latency;
  /// Highest cost of back ends per hour, in the currency of the price list.
  double CostPerHour = 0;
  /// 0 is most urgent.
  std::uint8_t Priority = 1;
  /// Models the customer may use; no others.
  std::vector<ModelTerms> Models;
  std::vector<ServiceTerms> Services;

  bool operator==(const Contract &) const = default;
};

/// Reads and validates the whole document. The error (BadJson or BadContract) lists every fault
/// with its JSON path and the accepted range.
Result<Contract> parseContract(std::string_view text);

/// JSON text that parseContract reads back to an equal contract. Every field is written.
std::string serialise(const Contract &contract);

/// Differences as "path: old -> new" lines, empty for equal contracts. Bearer keys are counted,
/// not shown.
std::vector<std::string> diff(const Contract &a, const Contract &b);

/// True if `token` is one of the contract's bearer keys. The time taken does not depend on how much
/// of a key matches.
bool acceptsToken(const Contract &contract, std::string_view token);

/// Nullptr when the contract does not list the model.
const ModelTerms *findModel(const Contract &contract, std::string_view name);

/// Nullptr when the contract does not list the service.
const ServiceTerms *findService(const Contract &contract, std::string_view name);

} // namespace chervil

#endif
