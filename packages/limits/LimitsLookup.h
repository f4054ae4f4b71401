// Callback that looks up the limits in force.
#ifndef CHERVIL_LIMITS_LIMITSLOOKUP_H
#define CHERVIL_LIMITS_LIMITSLOOKUP_H

#include "contract/Contract.h"

#include <functional>
#include <string>

namespace chervil::limits {

/// Returns the limits of a customer, or nullptr if the customer has no contract. The pointer must
/// stay valid during the call that uses the callback.
using LimitsLookup = std::function<const ContractLimits *(const std::string &customer)>;

} // namespace chervil::limits

#endif
